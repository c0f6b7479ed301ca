"""Translators between the users' platform and the product; nothing else knows its names."""
