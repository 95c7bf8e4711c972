/** A whole deployment of processes on loopback: stand-ins, entries, agents. */
import type { Answers } from '../src/types/answers.js'
import type { ListedInstance } from '../src/types/platform.js'
import { waitUntil } from '../src/utils/clock.js'
import type { RegisterLine } from '../stand-in/register.js'
import { freshAddress, planUpstreams, startDaemon, startStandIn, startStandIns, type PlannedUpstream, type Started, type StartedInstance } from './launch.js'
import type { ManagedProcess } from './process.js'

/** Time for which a stand-in may be ended by another fault, milliseconds. */
const maximumRestartMilliseconds = 15_000
const restartPollMilliseconds = 50

/** How to start a deployment. */
export interface DeploymentOptions {
  /** Whether all engines and plain services share one process, to save memory; then no signal reaches one of them alone. */
  readonly sharedUpstreams?: boolean
  readonly logLevel?: 'info' | 'warn' | 'error' | 'silent'
  /** Further flags of an instance's daemon, such as another address of the log. */
  readonly flagsOf?: (instance: string, platform: Readonly<Record<string, string>>) => Readonly<Record<string, string>>
}

/** The running deployment. */
export interface RunningDeployment {
  readonly log: Started
  readonly list: Started
  readonly origin: Started
  readonly store: Started
  readonly instances: readonly StartedInstance[]
  /** Every process that was started here. */
  readonly processes: readonly ManagedProcess[]
  /** Starts another agent for the upstream of an instance, under its name, at addresses of its own. */
  replaceAgent (instance: string): Promise<StartedInstance>
  /** The instance of that name. */
  named (instance: string): StartedInstance
  /** Publishes the list of instances to the platform's stand-in. */
  publish (listed: readonly ListedInstance[]): Promise<void>
  /** Facts that engines and plain services recorded so far. */
  register (): readonly RegisterLine[]
  /** Ends every process that was started here. */
  end (): void
}

interface Platform {
  readonly flags: Readonly<Record<string, string>>
  readonly sources: Readonly<Record<string, string>>
  readonly options: DeploymentOptions
}

/** Starts everything; resolves once all processes serve. */
export async function startDeployment (answers: Answers, entries: number, counts: Readonly<Record<string, number>>, options: DeploymentOptions = {}): Promise<RunningDeployment> {
  const planned = planUpstreams(answers, counts)
  const { platform: [log, list, origin, store], upstreams } = await startOutside(planned, options.sharedUpstreams === true)
  if (log === undefined || list === undefined || origin === undefined || store === undefined) throw new Error('a stand-in of the platform is missing')
  const platform: Platform = {
    flags: { log: `http://${log.listen}`, instances: `http://${list.listen}`, 'log-level': options.logLevel ?? 'warn' },
    sources: { origin: `http://${origin.listen}`, store: `http://${store.listen}` },
    options
  }
  const entryStarts = Array.from({ length: entries }, (_, index) => startEntryInstance(answers, index, platform))
  const upstreamStarts = planned.map((plan, index) => startAgent(plan, `${plan.service}-${index}`, upstreams[index], platform))
  const instances = await Promise.all([...entryStarts, ...upstreamStarts])
  const processes: ManagedProcess[] = [...new Set([log, list, origin, store, ...upstreams, ...instances].map(started => started.process))]
  const running: RunningDeployment = {
    log,
    list,
    origin,
    store,
    instances,
    processes,
    replaceAgent: async instance => {
      const { listed, upstream } = findInstance(instances, instance)
      const plan = planned.find(({ service, dataCentre }) => service === listed.service && dataCentre === listed.dataCentre)
      if (plan === undefined) throw new Error(`${instance} is no upstream`)
      const replaced = await startAgent(plan, instance, upstream, platform)
      processes.push(replaced.process)
      return replaced
    },
    named: instance => findInstance(instances, instance),
    publish: async listed => { await putJson(`http://${list.control}/`, listed) },
    register: () => [...new Set(upstreams.map(upstream => upstream.process))].flatMap(managed => managed.register),
    end: () => { for (const managed of processes) managed.kill('SIGKILL') }
  }
  await running.publish(instances.map(instance => instance.listed))
  return running
}

/** Sets faults at a stand-in's control port; the answer is what it says of itself. */
export async function setFaults (standIn: Started, faults: Readonly<Record<string, unknown>>, path = ''): Promise<unknown> {
  const answer = await fetch(`http://${standIn.control}/${path}`, { method: 'POST', body: JSON.stringify(faults) })
  return await answer.json()
}

/** Sets faults as soon as the stand-in answers: another fault may have ended it for a while. */
export async function setFaultsOnceRunning (standIn: Started, faults: Readonly<Record<string, unknown>>, path = ''): Promise<unknown> {
  const deadline = Date.now() + maximumRestartMilliseconds
  for (;;) {
    try {
      return await setFaults(standIn, faults, path)
    } catch (error) {
      if (Date.now() > deadline) throw error
      await waitUntil(Date.now() + restartPollMilliseconds)
    }
  }
}

async function putJson (url: string, value: unknown): Promise<void> {
  await fetch(url, { method: 'PUT', body: JSON.stringify(value) })
}

function findInstance (instances: readonly StartedInstance[], name: string): StartedInstance {
  const found = instances.find(({ listed }) => listed.instance === name)
  if (found === undefined) throw new Error(`no instance is called ${name}`)
  return found
}

async function startOutside (planned: readonly PlannedUpstream[], shared: boolean): Promise<{ readonly platform: readonly Started[], readonly upstreams: readonly Started[] }> {
  const platformKinds = ['log', 'instances', 'weights', 'weights'] as const
  const upstreamKinds = planned.map(({ kind }) => kind === 'model' ? 'engine' as const : 'service' as const)
  const platform = startStandIns(platformKinds, 'platform')
  const upstreams = shared ? startStandIns(upstreamKinds, 'upstreams') : Promise.all(upstreamKinds.map((kind, index) => startStandIn(kind, `${kind}-${index}`)))
  return { platform: await platform, upstreams: await upstreams }
}

async function startEntryInstance (answers: Answers, index: number, platform: Platform): Promise<StartedInstance> {
  const place = answers.dataCentres[index % answers.dataCentres.length]
  if (place === undefined) throw new Error('the answers name no data centre')
  const [listen, control] = [freshAddress(), freshAddress()]
  const instance = `entry-${index}`
  const flags = { role: 'entry', instance, 'data-centre': place.name, region: place.region, listen, control, ...platform.flags }
  const managed = await startDaemon({ ...flags, ...platform.options.flagsOf?.(instance, platform.flags) })
  const listed: ListedInstance = { instance, role: 'entry', service: '', dataCentre: place.name, region: place.region, state: 'live', address: listen, controlAddress: control }
  return { process: managed, listen, control, listed, upstream: undefined }
}

async function startAgent (planned: PlannedUpstream, instance: string, upstream: Started | undefined, platform: Platform): Promise<StartedInstance> {
  if (upstream === undefined) throw new Error('the upstream was not started')
  const { service, kind, dataCentre, region } = planned
  const [listen, control] = [freshAddress(), freshAddress()]
  const weights = kind === 'model' ? platform.sources : {}
  const flags = { role: 'agent', instance, 'data-centre': dataCentre, region, service, listen, control, upstream: `http://${upstream.listen}`, ...platform.flags, ...weights }
  const managed = await startDaemon({ ...flags, ...platform.options.flagsOf?.(instance, { ...platform.flags, upstream: flags.upstream }) })
  const listed: ListedInstance = { instance, role: 'upstream', service, dataCentre, region, state: 'live', address: listen, controlAddress: control }
  return { process: managed, listen, control, listed, upstream }
}
