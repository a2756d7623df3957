"""Tools that are not shipped: generator, local fleet, demo."""
