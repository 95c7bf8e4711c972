/** A whole deployment of processes on loopback: stand-ins, entries, agents. */
import type { Answers } from '../src/types/answers.js'
import type { ListedInstance } from '../src/types/platform.js'
import { freshAddress, planUpstreams, startDaemon, startStandIn, type PlannedUpstream, type Started, type StartedInstance } from './launch.js'

/** The running deployment. */
export interface RunningDeployment {
  readonly log: Started
  readonly list: Started
  readonly origin: Started
  readonly store: Started
  readonly instances: readonly StartedInstance[]
  /** Publishes the list of instances to the platform's stand-in. */
  publish (listed: readonly ListedInstance[]): Promise<void>
  /** Ends every process that was started here. */
  end (): void
}

/** Starts everything; resolves once all processes serve. */
export async function startDeployment (answers: Answers, entries: number, counts: Readonly<Record<string, number>>): Promise<RunningDeployment> {
  const [log, list, origin, store] = await Promise.all([startStandIn('log'), startStandIn('instances'), startStandIn('weights'), startStandIn('weights')])
  const platform = { log: `http://${log.listen}`, instances: `http://${list.listen}` }
  const sources = { origin: `http://${origin.listen}`, store: `http://${store.listen}` }
  const entryStarts = Array.from({ length: entries }, (_, index) => startEntryInstance(answers, index, platform))
  const upstreamStarts = planUpstreams(answers, counts).map((planned, index) => startUpstreamInstance(planned, index, platform, sources))
  const instances = await Promise.all([...entryStarts, ...upstreamStarts])
  const publish = async (listed: readonly ListedInstance[]): Promise<void> => {
    await fetch(`http://${list.control}/`, { method: 'PUT', body: JSON.stringify(listed) })
  }
  await publish(instances.map(instance => instance.listed))
  const end = (): void => {
    for (const started of [log, list, origin, store, ...instances, ...instances.flatMap(({ upstream }) => upstream ?? [])]) started.process.kill('SIGKILL')
  }
  return { log, list, origin, store, instances, publish, end }
}

async function startEntryInstance (answers: Answers, index: number, platform: Readonly<Record<string, string>>): Promise<StartedInstance> {
  const place = answers.dataCentres[index % answers.dataCentres.length]
  if (place === undefined) throw new Error('the answers name no data centre')
  const [listen, control] = [freshAddress(), freshAddress()]
  const instance = `entry-${index}`
  const child = await startDaemon({ role: 'entry', instance, 'data-centre': place.name, region: place.region, listen, control, 'log-level': 'warn', ...platform })
  const listed: ListedInstance = { instance, role: 'entry', service: '', dataCentre: place.name, region: place.region, state: 'live', address: listen, controlAddress: control }
  return { process: child, listen, control, listed, upstream: undefined }
}

async function startUpstreamInstance (planned: PlannedUpstream, index: number, platform: Readonly<Record<string, string>>, sources: Readonly<Record<string, string>>): Promise<StartedInstance> {
  const { service, kind, dataCentre, region } = planned
  const upstream = await startStandIn(kind === 'model' ? 'engine' : 'service')
  const [listen, control] = [freshAddress(), freshAddress()]
  const instance = `${service}-${index}`
  const weights = kind === 'model' ? sources : {}
  const child = await startDaemon({ role: 'agent', instance, 'data-centre': dataCentre, region, service, listen, control, upstream: `http://${upstream.listen}`, 'log-level': 'warn', ...platform, ...weights })
  const listed: ListedInstance = { instance, role: 'upstream', service, dataCentre, region, state: 'live', address: listen, controlAddress: control }
  return { process: child, listen, control, listed, upstream }
}
