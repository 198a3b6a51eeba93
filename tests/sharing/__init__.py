"""Tests of the scopes of cached context."""
