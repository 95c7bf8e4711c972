/** Catalogue of all faults by name. */
import { CrashingRequest } from './crashing-request.js'
import type { Fault } from './fault.js'
import { IsolatedZoneOut, OperatorRace, ZoneMove } from './operator-faults.js'
import { AgentLinkFault, LogCutOff, LogConnectionStall, AnswerFault, Misreport, PlatformFault, RolloutFault, UpstreamFault, VersionChange } from './platform-faults.js'
import { Burst, Kill, KillDataCentre, Drain, Pause, PlannedStop, ReplaceAgent, RepeatedPause } from './process-faults.js'
import { modelService, plainService } from './test-deployment.js'

const factories: ReadonlyArray<() => Fault> = [
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
  () => new Drain(),
  () => new ReplaceAgent(modelService),
  () => new ReplaceAgent(plainService),
  () => new RepeatedPause('entry'),
  () => new RepeatedPause('model-agent'),
  () => new RepeatedPause('plain-agent'),
  () => new RepeatedPause('engine'),
  () => new KillDataCentre(),
  () => new Burst(),
  () => new PlatformFault('log-out', 'log', { outage: true }, { outage: false }),
  () => new PlatformFault('log-slow', 'log', { delayMilliseconds: 1500 }, { delayMilliseconds: 0 }),
  () => new PlatformFault('log-loses-answers', 'log', { loseAnswers: 0.5, loseReads: 0.3 }, { loseAnswers: 0, loseReads: 0 }),
  () => new LogCutOff(),
  () => new LogConnectionStall(),
  () => new PlatformFault('list-out', 'list', { outage: true }, { outage: false }),
  () => new RolloutFault('origin-out', ['origin'], { outage: true }, { outage: false }),
  () => new RolloutFault('sources-out', ['origin', 'store'], { outage: true }, { outage: false }),
  () => new RolloutFault('chunks-corrupt', ['origin', 'store'], { corrupt: 0.3 }, { corrupt: 0 }),
  () => new UpstreamFault('silence', modelService),
  () => new UpstreamFault('silence', plainService),
  () => new UpstreamFault('cut', modelService),
  () => new UpstreamFault('cut', plainService),
  () => new UpstreamFault('crash', modelService),
  () => new AnswerFault('service-loses-answers', plainService, { loseShare: 0.5 }, { loseShare: 0 }),
  () => new AnswerFault('orders-lose-answers', modelService, { loseOrderShare: 1 }, { loseOrderShare: 0 }),
  () => new AnswerFault('engine-crosses-answers', modelService, { crossShare: 0.6 }, { crossShare: 0 }),
  () => new AnswerFault('service-crosses-answers', plainService, { crossShare: 0.6 }, { crossShare: 0 }),
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

/** Names of all faults; the order matters, since a seed picks by position. */
export const faultNames: readonly string[] = factories.map(make => make().name)

/** Creates the fault of that name; throws if there is none. */
export function createFault (name: string): Fault {
  const make = factories[faultNames.indexOf(name)]
  if (make === undefined) throw new Error(`no fault is called "${name}"; known: ${faultNames.join(', ')}`)
  return make()
}
