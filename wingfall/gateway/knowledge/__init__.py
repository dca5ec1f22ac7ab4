"""What a gateway knows of endpoints, engines and their caches.

Learned from the store, from its own calls and from peers; nothing here decides.
"""
