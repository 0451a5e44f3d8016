"""What the roles need of the outside, as Protocol classes."""
