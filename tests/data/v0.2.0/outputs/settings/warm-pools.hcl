bill_every_s = 61.5
estimate_at_most_s = 451.5
model "llama" {
  version = 3
  image = "llama-3"
  size_gb = 65.5
  names = ["llama", "llama-latest"]
}
pool "desk" {
  model = "llama"
  payer = "red"
  keep = "loaded"
  count = 1
  cores = 2.5
  cards = 1.5
  mem_gb = 20.5
  machines = ["large"]
  zones = ["east"]
  spread = true
  spot = true
  claimants = ["red", "blue"]
  idle_cost_per_hour = 60.5
  idle_budget_per_day = 900.5
  loads_at_a_time = 2
  window "desk hours" {
    days = ["weekdays"]
    from = "07:30"
    to = "17:00"
    zone = "Pacific/Fiji"
    count = 3
  }
  exception "2026-12-25" {
    zone = "Pacific/Fiji"
    count = 2
  }
}
pool "rooms" {
  model = "llama"
  payer = "blue"
  keep = "image"
  cores = 1.5
  mem_gb = 2.5
}
