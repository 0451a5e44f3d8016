"""Interfaces between the roles and their adapters, as Protocol classes."""
