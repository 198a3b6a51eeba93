"""Limits what is sent to targets that are cold: shortly after a start, or afterwards.

A cold target crashes if it gets much more than a certain rate of requests. The VMs keep
to that rate without messages, also while they can't communicate.
"""
