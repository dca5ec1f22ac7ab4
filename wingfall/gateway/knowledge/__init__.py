"""The state that a gateway holds of endpoints, engines and their caches.

Sources are the store, the gateway's own calls and its peers. No routing
decision is made here.
"""
