"""What limiters keep alike.

What each has charged whom, and hosts put out by hand; with catch-up, and snapshots on disk.
"""
