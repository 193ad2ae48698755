"""Seeded runs of the product's own modules in virtual time, and what they show."""
