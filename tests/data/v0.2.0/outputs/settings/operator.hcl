bin_width_s = 6.5
default_deadline_s = 601.5
idle_keep = 2.5
headroom = 0.75
partitions = 1
