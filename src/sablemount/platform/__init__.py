"""Translation between the users' platform and the product; no other package uses its names."""
