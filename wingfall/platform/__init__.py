"""Translates between the users' platform and the product's own words.

Importing the package registers its binding.
"""

from wingfall.platform.binding import FjordgridBinding

__all__ = ('FjordgridBinding',)
