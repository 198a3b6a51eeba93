"""Second sends of calls whose first send takes longer than most of their route."""
