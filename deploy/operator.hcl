# Operators' settings of badgerdrift; every name is optional. See docs/operations.md.
bin_width_s        = 5
default_deadline_s = 600
partitions         = 1
