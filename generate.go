package zinniayoke

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Outcome,Reason,WorkerState,Fate,MemberStatus -transform=title-lower -trimprefix=Outcome,Reason,Worker,Fate,Member -text -json -output=enum_enumer.go
