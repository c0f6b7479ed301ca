"""Tests of sablemount."""
