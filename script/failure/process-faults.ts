/** Faults of processes: killed, paused, stopped as planned, replaced. */
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
    await world.publishChanged('', {})
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
  readonly name = 'replace-agent'
  readonly harm = 'unknown'
  private old: ManagedProcess | undefined

  async begin (world: World): Promise<void> {
    const replaced = world.pickWorking(world.agents(modelService))
    this.old = replaced.process
    await world.rollOutNext()
    await waitUntil(Date.now() + world.random() * rolloutMilliseconds)
    this.old.kill('SIGSTOP')
    const next = await world.running.replaceAgent(replaced.listed.instance)
    await world.publishChanged(replaced.listed.instance, next.listed)
  }

  async heal (): Promise<void> {
    this.old?.kill('SIGCONT')
  }
}

const rolloutMilliseconds = 600
