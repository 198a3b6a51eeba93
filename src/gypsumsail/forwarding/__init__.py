"""Calls between VMs: a VM that reaches no target has others serve its calls."""
