"""Scale runs.

What a limiter costs, by role, as the fleet, the servers, the routes and the tenants grow.
"""
