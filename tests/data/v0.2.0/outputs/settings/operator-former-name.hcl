parts = 1
