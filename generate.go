package zinniayoke

//go:generate enumer -type=Outcome,Reason,WorkerState,AttemptState,MemberStatus,EventKind -transform=title-lower -trimprefix=Attempt,Outcome,Reason,Worker,Member,Event -text -json -output=enum_enumer.go
