/** Faults of processes: killed, paused, stopped as planned or replaced; also bursts of load. */
import type { Load } from '../load.js'
import type { StartedInstance } from '../launch.js'
import { exitCodeOfSignal, type ManagedProcess } from '../process.js'
import type { RegisterLine } from '../../stand-in/register.js'
import { waitUntil } from '../../src/utils/clock.js'
import { Fault, type CallerImpact, type EntryDowntime } from './fault.js'
import { modelService, plainService, type TestDeployment } from './test-deployment.js'

/** Kind of process that a fault affects. */
export type Target = 'entry' | 'model-agent' | 'plain-agent' | 'engine' | 'service'

function chooseTarget (deployment: TestDeployment, target: Target): ManagedProcess {
  switch (target) {
    case 'entry': return deployment.pick(deployment.entries).process
    case 'model-agent': return deployment.pickBusy(deployment.agents(modelService)).process
    case 'plain-agent': return deployment.pickBusy(deployment.agents(plainService)).process
    case 'engine': return upstreamOf(deployment.pickBusy(deployment.agents(modelService)))
    case 'service': return upstreamOf(deployment.pickBusy(deployment.agents(plainService)))
  }
}

function upstreamOf ({ upstream }: StartedInstance): ManagedProcess {
  if (upstream === undefined) throw new Error('the instance has no upstream')
  return upstream.process
}

/** Kills a process; it restarts without its state at the same addresses. */
export class Kill extends Fault {
  readonly name: string
  readonly impact: CallerImpact
  private affected: ManagedProcess | undefined

  constructor (private readonly target: Target) {
    super()
    this.name = `kill-${target}`
    this.impact = target === 'entry' ? 'cut' : 'unknown'
  }

  async inject (deployment: TestDeployment): Promise<void> {
    this.affected = chooseTarget(deployment, this.target)
    await this.affected.end()
  }

  async clear (): Promise<void> {
    await this.affected?.ensureRunning()
  }
}

/** Pauses a process, which resumes with outdated state when the fault is cleared. */
export class Pause extends Fault {
  readonly name: string
  readonly impact: CallerImpact
  private affected: ManagedProcess | undefined

  constructor (private readonly target: Target) {
    super()
    this.name = `pause-${target}`
    this.impact = target === 'entry' ? 'cut' : 'unknown'
  }

  async inject (deployment: TestDeployment): Promise<void> {
    this.affected = chooseTarget(deployment, this.target)
    this.affected.kill('SIGSTOP')
  }

  async clear (): Promise<void> {
    this.affected?.kill('SIGCONT')
  }
}

/** Pauses a process repeatedly and briefly, so that pauses fall between a check and the step that relies on it. */
export class RepeatedPause extends Fault {
  readonly name: string
  readonly impact: CallerImpact
  private isCleared = false

  constructor (private readonly target: Target) {
    super()
    this.name = `stutter-${target}`
    this.impact = target === 'entry' ? 'cut' : 'unknown'
  }

  async inject (deployment: TestDeployment): Promise<void> {
    const struck = chooseTarget(deployment, this.target)
    for (let moment = 0; moment < pauseCount && !this.isCleared; moment += 1) {
      struck.kill('SIGSTOP')
      await waitUntil(Date.now() + deployment.random() * maximumPauseMilliseconds)
      struck.kill('SIGCONT')
      await waitUntil(Date.now() + deployment.random() * maximumGapMilliseconds)
    }
  }

  async clear (): Promise<void> {
    this.isCleared = true
  }
}

const pauseCount = 12
const maximumPauseMilliseconds = 700
const maximumGapMilliseconds = 150

/** Kills every process of a data centre at once, upstreams included; all restart without their state. */
export class KillDataCentre extends Fault {
  readonly name = 'kill-data-centre'
  readonly impact = 'cut'
  private affected: readonly ManagedProcess[] = []

  async inject (deployment: TestDeployment): Promise<void> {
    const { name } = deployment.pick(deployment.answers.dataCentres)
    const instances = deployment.running.instances.filter(({ listed }) => listed.dataCentre === name)
    this.affected = instances.flatMap(({ process: managed, upstream }) => upstream === undefined ? [managed] : [managed, upstream.process])
    await Promise.all(this.affected.map(async managed => { await managed.end() }))
  }

  async clear (): Promise<void> {
    await Promise.all(this.affected.map(async managed => { await managed.ensureRunning() }))
  }
}

/** Adds callers while the fault lasts. */
export class Burst extends Fault {
  readonly name = 'burst'
  /** A queued request may reach its own deadline while it runs. */
  readonly impact = 'unknown'
  private load: Load | undefined

  async inject (deployment: TestDeployment): Promise<void> {
    this.load = deployment.addCallers(burstCallers)
  }

  async clear (): Promise<void> {
    await this.load?.stop()
  }
}

const burstCallers = 25

/** Planned stop of an entry or an agent, which must exit with code 0. */
export class PlannedStop extends Fault {
  readonly name: string
  readonly impact = 'none'
  private exitCode: number | undefined
  private wasKilled = false
  private stoppedAt = Infinity
  private restartedAt = Infinity
  private stoppedInstance: StartedInstance | undefined

  constructor (private readonly target: 'entry' | 'model-agent' | 'plain-agent') {
    super()
    this.name = `stop-${target}`
  }

  async inject (deployment: TestDeployment): Promise<void> {
    const service = this.target === 'model-agent' ? modelService : plainService
    this.stoppedInstance = this.target === 'entry' ? deployment.pick(deployment.entries) : deployment.pickBusy(deployment.agents(service))
    const { process: stopped } = this.stoppedInstance
    // Another series may be starting it.
    await stopped.ensureRunning()
    this.stoppedAt = Date.now()
    this.exitCode = await stopped.stop()
    this.wasKilled = stopped.wasEndedAtOnce
  }

  async clear (): Promise<void> {
    await this.stoppedInstance?.process.ensureRunning()
    this.restartedAt = Date.now()
  }

  override get downtime (): EntryDowntime | undefined {
    if (this.target !== 'entry' || this.stoppedInstance === undefined) return undefined
    return { entry: this.stoppedInstance.listed.instance, from: this.stoppedAt, until: this.restartedAt }
  }

  override check (): readonly string[] {
    // Another series may kill the process before it has stopped.
    const isKilled = this.exitCode === exitCodeOfSignal && this.wasKilled
    return this.exitCode === 0 || isKilled ? [] : [`the planned stop ended with ${this.exitCode}`]
  }
}

/** Lists an upstream as `leaving`; it must get no new work after the grace period. */
export class Drain extends Fault {
  readonly name = 'leaving'
  readonly impact = 'none'
  private drainingInstance: StartedInstance | undefined
  private publishedAt = 0
  private relistedAt = 0

  async inject (deployment: TestDeployment): Promise<void> {
    const drained = deployment.pickBusy(deployment.agents())
    this.drainingInstance = drained
    await deployment.publishChanged(drained.listed.instance, { state: 'leaving' })
    this.publishedAt = Date.now()
    await waitUntil(this.publishedAt + drainGraceMilliseconds + observationMilliseconds)
  }

  async clear (deployment: TestDeployment): Promise<void> {
    this.relistedAt = Date.now()
    if (this.drainingInstance !== undefined) await deployment.publishChanged(this.drainingInstance.listed.instance, { state: 'live' })
  }

  override check (_deployment: TestDeployment, register: readonly RegisterLine[]): readonly string[] {
    const late = register.filter(line => (line.event === 'started' || line.event === 'ran') && line.upstream === this.drainingInstance?.upstream?.listen && line.at > this.publishedAt + drainGraceMilliseconds && line.at < this.relistedAt)
    return late.map(line => `the leaving ${this.drainingInstance?.listed.instance ?? ''} got work ${line.at - this.publishedAt} ms after it was listed as leaving`)
  }
}

/** A draining upstream may get new work for this long. */
const drainGraceMilliseconds = 3000
/** Time after the grace period in which late work is detected. */
const observationMilliseconds = 1500

/** A second agent takes over an upstream while the first is paused, for an engine during a rollout; then the first resumes. */
export class ReplaceAgent extends Fault {
  readonly name: string
  readonly impact = 'unknown'
  private replacedProcess: ManagedProcess | undefined

  constructor (private readonly service: typeof modelService | typeof plainService) {
    super()
    this.name = service === modelService ? 'replace-agent' : 'replace-plain-agent'
  }

  async inject (deployment: TestDeployment): Promise<void> {
    const replaced = deployment.pickBusy(deployment.agents(this.service))
    this.replacedProcess = replaced.process
    if (this.service === modelService) await deployment.rollOutNext()
    await waitUntil(Date.now() + deployment.random() * maximumDelayMilliseconds)
    this.replacedProcess.kill('SIGSTOP')
    const next = await deployment.running.replaceAgent(replaced.listed.instance)
    await deployment.publishChanged(replaced.listed.instance, { address: next.listen, controlAddress: next.control })
  }

  async clear (): Promise<void> {
    this.replacedProcess?.kill('SIGCONT')
  }
}

const maximumDelayMilliseconds = 600
