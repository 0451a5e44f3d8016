"""Translation between the users' platform and the product.

The platform names, starts and reports on work in its own terms. This package
turns them into the product's types and back, and does nothing else: it takes
no decision, keeps no state that must survive and retries nothing. Nothing
outside it knows the platform's names.
"""
