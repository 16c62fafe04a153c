package zinniayoke

//go:generate enumer -type=Outcome,Reason,WorkerState,AttemptState,MemberStatus,EventKind,Distance -transform=title-lower -trimprefix=Attempt,Outcome,Reason,Worker,Member,Event,Distance -text -json -output=enum_enumer.go
