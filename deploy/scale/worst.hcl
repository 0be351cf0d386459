# The target fleet in its worst hour: 5 regions with 15 zones, 2,400 workers, about 46,000 tasks, 1,500 starts
# per second at the peak, 510 teams. Amounts are those of the whole fleet; see README.md.
regions                = 5
zones_per_region       = 3
controllers_per_region = 3
workers                = 2400
duration_s             = 120
warm_up_s              = 25

controller {
  max_sockets = 2677
}

teams {
  # Changes reduce a region's share to half at the least, into which the largest gang still fits.
  count            = 510
  guaranteed_cores = 100
  most_cores       = 4000
  guaranteed_cards = 0
  most_cards       = 0
}

machine {
  cores     = 32
  cards     = 4
  mem_gb    = 128
  startup_s = 3
}

worker {
  report_s    = 4
  lease_s     = 22
  gang_wait_s = 30
  gang_peer_s = 6
  cancel_s    = 52
  fetch_s     = [0.2, 1.5]
}

state {
  rps       = 350
  write_rps = 70
  value_kb  = 8
  txn_ops   = 12
}

# Failures of an ordinary day within 4 minutes.
failures {
  machines_a_day = 25
  replaced_a_day = 270
  compression    = 360
}

# Ten times the rate of 1,500 changes per day.
configuration {
  changes_per_s = 0.174
}

# Some 1,200 starts a second, 36,000 tasks at a time.
class "array" {
  shape        = "batch"
  urgency      = "best_effort"
  tasks        = [100, 400]
  run_s        = [20, 40]
  cores        = 1.5
  mem_gb       = 3
  jobs_per_s   = 4.8
  initial_jobs = 120
}

class "gang" {
  shape        = "group"
  urgency      = "standard"
  tasks        = [64, 256]
  run_s        = [40, 80]
  cores        = 1.5
  mem_gb       = 3
  jobs_per_s   = 0.4
  initial_jobs = 10
}

class "replicas" {
  shape        = "service"
  urgency      = "urgent"
  tasks        = [1, 8]
  run_s        = [60, 300]
  cores        = 4
  cards        = 1
  mem_gb       = 16
  jobs_per_s   = 3
  initial_jobs = 300
}

# Faults of the worst hour within a minute and a half.
fault "zone" {
  kind   = "zone"
  region = 2
  at_s   = 40
}

fault "region_cut" {
  kind   = "region_cut"
  region = 4
  at_s   = 45
  for_s  = 30
}

fault "all_controllers" {
  kind   = "controllers_restarted"
  region = 3
  at_s   = 50
  for_s  = 5
}

fault "state_outage" {
  kind   = "state_outage"
  region = 0
  at_s   = 60
  for_s  = 20
}

fault "owner_held" {
  kind   = "controller_held"
  region = 1
  at_s   = 70
  for_s  = 10
}
