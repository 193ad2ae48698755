"""What limiters keep alike: what each has charged whom, and hosts put out by hand; with catch-up, and snapshots on disk."""
