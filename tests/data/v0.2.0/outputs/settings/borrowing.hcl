quiet_s = 1800.5
return_after_s = 45.5
borrower "red" {
  from = "urgent"
}
borrower "blue" {
  from = "production"
}
lender "blue" {
  to = ["red"]
  up_to = "standard"
  most_gpus = 2.5
  most_share = 0.5
}
lender "red" {
  to = ["blue"]
  up_to = "best_effort"
}
