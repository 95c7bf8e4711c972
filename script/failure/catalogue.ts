/** Every fault by name. */
import { CrashingRequest } from './crashing-request.js'
import type { Fault } from './fault.js'
import { IsolatedZoneOut, OperatorRace, ZoneMove } from './operator-faults.js'
import { AgentLinkFault, LogCutOff, LogSilence, LostAnswers, Misreport, PlatformFault, RolloutFault, UpstreamAct, VersionChange } from './platform-faults.js'
import { Burst, Kill, KillDataCentre, Leaving, Pause, PlannedStop, ReplaceAgent, Stutter } from './process-faults.js'
import { modelService, plainService } from './world.js'

const makers: ReadonlyArray<() => Fault> = [
  () => new Kill('entry'),
  () => new Kill('model-agent'),
  () => new Kill('plain-agent'),
  () => new Kill('engine'),
  () => new Kill('service'),
  () => new Pause('entry'),
  () => new Pause('model-agent'),
  () => new Pause('plain-agent'),
  () => new Pause('engine'),
  () => new Pause('service'),
  () => new PlannedStop('entry'),
  () => new PlannedStop('model-agent'),
  () => new PlannedStop('plain-agent'),
  () => new Leaving(),
  () => new ReplaceAgent(modelService),
  () => new ReplaceAgent(plainService),
  () => new Stutter('entry'),
  () => new Stutter('model-agent'),
  () => new Stutter('plain-agent'),
  () => new Stutter('engine'),
  () => new KillDataCentre(),
  () => new Burst(),
  () => new PlatformFault('log-out', 'log', { outage: true }, { outage: false }),
  () => new PlatformFault('log-slow', 'log', { delayMilliseconds: 1500 }, { delayMilliseconds: 0 }),
  () => new PlatformFault('log-loses-answers', 'log', { loseAnswers: 0.5, loseReads: 0.3 }, { loseAnswers: 0, loseReads: 0 }),
  () => new LogCutOff(),
  () => new LogSilence(),
  () => new PlatformFault('list-out', 'list', { outage: true }, { outage: false }),
  () => new RolloutFault('origin-out', ['origin'], { outage: true }, { outage: false }),
  () => new RolloutFault('sources-out', ['origin', 'store'], { outage: true }, { outage: false }),
  () => new RolloutFault('chunks-corrupt', ['origin', 'store'], { corrupt: 0.3 }, { corrupt: 0 }),
  () => new UpstreamAct('silence', modelService),
  () => new UpstreamAct('silence', plainService),
  () => new UpstreamAct('cut', modelService),
  () => new UpstreamAct('cut', plainService),
  () => new UpstreamAct('crash', modelService),
  () => new LostAnswers('service-loses-answers', plainService, { loseShare: 0.5 }, { loseShare: 0 }),
  () => new LostAnswers('orders-lose-answers', modelService, { loseOrderShare: 1 }, { loseOrderShare: 0 }),
  () => new LostAnswers('engine-crosses-answers', modelService, { crossShare: 0.6 }, { crossShare: 0 }),
  () => new LostAnswers('service-crosses-answers', plainService, { crossShare: 0.6 }, { crossShare: 0 }),
  () => new RolloutFault('chunks-stall', ['origin', 'store'], { stall: 0.3, lost: 0.2 }, { stall: 0, lost: 0 }),
  () => new VersionChange(),
  () => new Misreport(),
  () => new AgentLinkFault('silence'),
  () => new AgentLinkFault('cut'),
  () => new AgentLinkFault('block'),
  () => new CrashingRequest('completion'),
  () => new CrashingRequest('lookUp'),
  () => new CrashingRequest('signOff'),
  () => new ZoneMove(),
  () => new IsolatedZoneOut(),
  () => new OperatorRace()
]

/** Names of all faults. */
export const faultNames: readonly string[] = makers.map(make => make().name)

/** A fresh fault of that name. */
export function makeFault (name: string): Fault {
  const make = makers[faultNames.indexOf(name)]
  if (make === undefined) throw new Error(`no fault is called "${name}"; known: ${faultNames.join(', ')}`)
  return make()
}
