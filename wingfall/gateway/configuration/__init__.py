"""Objects of the platform's store: followed, kept, and put in force."""
