# Pools of warm replicas:
#     badgerdrift serve --warm-pools deploy/warm-pools.hcl --operator deploy/operator.hcl --config FILE
# An example: the names of teams, machine types and zones must be those of the deployment. For the fields
# and their operation see docs/warm-pools.md.
bill_every_s       = 300 # longest time between records of a slot's charges
estimate_at_most_s = 900 # longest time charged without an observation

model "parcel-notes" {
  version = 3
  image   = "parcel-notes-3"
  size_gb = 65.5
  names   = ["parcel-notes"]
}

pool "counter" {
  model              = "parcel-notes"
  payer              = "valuers"
  keep               = "image" # or "loaded", with workers that have the extension
  count              = 1       # outside the windows
  cores              = 22
  cards              = 4
  mem_gb             = 90
  spread             = true
  spot               = false
  claimants          = ["valuers", "objections"]
  idle_cost_per_hour = 60
  loads_at_a_time    = 2

  window "counter hours" {
    days  = ["weekdays"]
    from  = "07:30"
    to    = "17:00"
    zone  = "Pacific/Fiji"
    count = 4
  }

  exception "2026-12-25" {
    zone  = "Pacific/Fiji"
    count = 0
  }
}
