"""Checks a routing document before it is sent, and compares two of them."""
