package zyexperiment
import ("testing";"fmt";"time")
func TestDbg(t *testing.T){
 for _, s := range Scenarios(1) { if s.Name=="hollander announces 10x slots, surge 5x" && s.Depth==3 {
   r := &run{scenario: s, policy: Full, clock: newClock(), random: newRandom(s.Seed)}
   r.score = newScore(r); r.build()
   for _, l := range s.Loads { for c := range l.Callers { r.startCaller(l,c) } }
   r.schedulePressure()
   for i:=0;i<100;i++ { r.clock.run(time.Duration(i)*500*time.Millisecond); h:=r.hosts[2][0]; f:=r.hosts[0][0]; sl:=r.score.slots[max(i*5-5,0):i*5+1]; w,se:=0,0; for _,x:=range sl{w+=x.whole;se+=x.sent}
   fmt.Println(r.clock.since(), "deep L",h.gate.Limit(r.clock.now),"run",h.gate.Running(),"wait",h.gate.Waiting(),"T",h.gate.Threshold(),"back",len(h.backlog),"| front L",f.gate.Limit(r.clock.now),f.gate.Running(),f.gate.Threshold(),"door",f.door.Threshold(r.clock.now,"s0"),"whole",w,"/",se) }
 }}}
