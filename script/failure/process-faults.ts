/** Faults of processes: killed, paused, stopped as planned, replaced. */
import type { Load } from '../load.js'
import type { StartedInstance } from '../launch.js'
import type { ManagedProcess } from '../process.js'
import type { RegisterLine } from '../../stand-in/register.js'
import { waitUntil } from '../../src/utils/clock.js'
import { Fault, type Harm } from './fault.js'
import { modelService, plainService, type World } from './world.js'

/** Which process a fault strikes. */
export type Target = 'entry' | 'model-agent' | 'plain-agent' | 'engine' | 'service'

function chooseTarget (world: World, target: Target): ManagedProcess {
  switch (target) {
    case 'entry': return world.pick(world.entries).process
    case 'model-agent': return world.pickWorking(world.agents(modelService)).process
    case 'plain-agent': return world.pickWorking(world.agents(plainService)).process
    case 'engine': return upstreamOf(world.pickWorking(world.agents(modelService)))
    case 'service': return upstreamOf(world.pickWorking(world.agents(plainService)))
  }
}

function upstreamOf ({ upstream }: StartedInstance): ManagedProcess {
  if (upstream === undefined) throw new Error('the instance has no upstream')
  return upstream.process
}

/** Kills a process at once; it starts again, empty, at the same addresses. */
export class Kill extends Fault {
  readonly name: string
  readonly harm: Harm
  private struck: ManagedProcess | undefined

  constructor (private readonly target: Target) {
    super()
    this.name = `kill-${target}`
    this.harm = target === 'entry' ? 'cut' : 'unknown'
  }

  async begin (world: World): Promise<void> {
    this.struck = chooseTarget(world, this.target)
    await this.struck.end()
  }

  async heal (): Promise<void> {
    await this.struck?.ensureRunning()
  }
}

/** Pauses a process past every lease and lets it go on. */
export class Pause extends Fault {
  readonly name: string
  readonly harm: Harm
  private struck: ManagedProcess | undefined

  constructor (private readonly target: Target) {
    super()
    this.name = `pause-${target}`
    this.harm = target === 'entry' ? 'cut' : 'unknown'
  }

  async begin (world: World): Promise<void> {
    this.struck = chooseTarget(world, this.target)
    this.struck.kill('SIGSTOP')
  }

  async heal (): Promise<void> {
    this.struck?.kill('SIGCONT')
  }
}

/** Pauses a process again and again for moments, so that a pause falls between any check and what follows it. */
export class Stutter extends Fault {
  readonly name: string
  readonly harm: Harm
  private stopped = false

  constructor (private readonly target: Target) {
    super()
    this.name = `stutter-${target}`
    this.harm = target === 'entry' ? 'cut' : 'unknown'
  }

  async begin (world: World): Promise<void> {
    const struck = chooseTarget(world, this.target)
    for (let moment = 0; moment < moments && !this.stopped; moment += 1) {
      struck.kill('SIGSTOP')
      await waitUntil(Date.now() + world.random() * longestMomentMilliseconds)
      struck.kill('SIGCONT')
      await waitUntil(Date.now() + world.random() * shortestGapMilliseconds)
    }
  }

  async heal (): Promise<void> {
    this.stopped = true
  }
}

const moments = 12
const longestMomentMilliseconds = 700
const shortestGapMilliseconds = 150

/** Kills every process of a data centre at once, back ends too; all start again empty. */
export class KillDataCentre extends Fault {
  readonly name = 'kill-data-centre'
  readonly harm = 'cut'
  private struck: readonly ManagedProcess[] = []

  async begin (world: World): Promise<void> {
    const { name } = world.pick(world.answers.dataCentres)
    const instances = world.running.instances.filter(({ listed }) => listed.dataCentre === name)
    this.struck = instances.flatMap(({ process: managed, upstream }) => upstream === undefined ? [managed] : [managed, upstream.process])
    await Promise.all(this.struck.map(async managed => { await managed.end() }))
  }

  async heal (): Promise<void> {
    await Promise.all(this.struck.map(async managed => { await managed.ensureRunning() }))
  }
}

/** Many more callers for a while. */
export class Burst extends Fault {
  readonly name = 'burst'
  /** A request that waited long may be cut by its own deadline. */
  readonly harm = 'unknown'
  private load: Load | undefined

  async begin (world: World): Promise<void> {
    this.load = world.addCallers(burstCallers)
  }

  async heal (): Promise<void> {
    await this.load?.stop()
  }
}

const burstCallers = 25

/** Planned stop of an entry or an agent; the list calls it leaving first. */
export class PlannedStop extends Fault {
  readonly name: string
  readonly harm = 'none'
  private exitCode: number | undefined
  private stopped: StartedInstance | undefined

  constructor (private readonly target: 'entry' | 'model-agent' | 'plain-agent') {
    super()
    this.name = `stop-${target}`
  }

  async begin (world: World): Promise<void> {
    const service = this.target === 'model-agent' ? modelService : plainService
    this.stopped = this.target === 'entry' ? world.pick(world.entries) : world.pickWorking(world.agents(service))
    this.exitCode = await this.stopped.process.stop()
  }

  async heal (): Promise<void> {
    await this.stopped?.process.ensureRunning()
  }

  override check (): readonly string[] {
    return this.exitCode === 0 ? [] : [`the planned stop ended with ${this.exitCode}`]
  }
}

/** An upstream that the list calls leaving. */
export class Leaving extends Fault {
  readonly name = 'leaving'
  readonly harm = 'none'
  private left: StartedInstance | undefined
  private publishedAt = 0
  private backAt = 0

  async begin (world: World): Promise<void> {
    const left = world.pickWorking(world.agents())
    this.left = left
    await world.publishChanged(left.listed.instance, { state: 'leaving' })
    this.publishedAt = Date.now()
    await waitUntil(this.publishedAt + leavingMilliseconds + watchedMilliseconds)
  }

  async heal (world: World): Promise<void> {
    this.backAt = Date.now()
    if (this.left !== undefined) await world.publishChanged(this.left.listed.instance, { state: 'live' })
  }

  override check (_world: World, register: readonly RegisterLine[]): readonly string[] {
    const late = register.filter(line => (line.event === 'started' || line.event === 'ran') && line.upstream === this.left?.upstream?.listen && line.at > this.publishedAt + leavingMilliseconds && line.at < this.backAt)
    return late.map(line => `the leaving ${this.left?.listed.instance ?? ''} got work ${line.at - this.publishedAt} ms after it was listed as leaving`)
  }
}

/** A leaving upstream may get new work for this long. */
const leavingMilliseconds = 3000
const watchedMilliseconds = 1500

/** A second agent takes over an engine in the middle of a rollout while the first is paused; then the first goes on. */
export class ReplaceAgent extends Fault {
  readonly name: string
  readonly harm = 'unknown'
  private old: ManagedProcess | undefined

  constructor (private readonly service: typeof modelService | typeof plainService) {
    super()
    this.name = service === modelService ? 'replace-agent' : 'replace-plain-agent'
  }

  async begin (world: World): Promise<void> {
    const replaced = world.pickWorking(world.agents(this.service))
    this.old = replaced.process
    if (this.service === modelService) await world.rollOutNext()
    await waitUntil(Date.now() + world.random() * rolloutMilliseconds)
    this.old.kill('SIGSTOP')
    const next = await world.running.replaceAgent(replaced.listed.instance)
    await world.publishChanged(replaced.listed.instance, { address: next.listen, controlAddress: next.control })
  }

  async heal (): Promise<void> {
    this.old?.kill('SIGCONT')
  }
}

const rolloutMilliseconds = 600
