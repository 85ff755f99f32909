// Package mapswitch measures the pause, messages and time of a switch of a group's expert map. Real slots and a real
// proposer communicate with connect-go over loopback. The engines are simulated with expertmap.EngineModel and run in
// lockstep.
package mapswitch
