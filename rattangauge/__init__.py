"""Configuration distribution and call routing for a service mesh."""
