/** Specification: no more than the allowed number of a pool's instances are unavailable for a swap at once. Exercises src/core/weights/swap-pacing.ts. */
import { nextSwapStep, type SwapPeer, type SwapState, type SwapStep } from '../src/core/weights/swap-pacing.js'
import type { Action, Specification } from './explore.js'

const wanted = 'new'

interface ModelInstance {
  readonly alive: boolean
  readonly served: string
  readonly swap: SwapState
  /** State of each other instance as read since the announcement; undefined where it was not read yet. */
  readonly observed: ReadonlyArray<SwapState | 'done' | 'dead' | undefined>
}

interface World {
  readonly instances: readonly ModelInstance[]
  readonly crashesLeft: number
}

/** Bounds of the exploration: numbers of instances, of those that may be unavailable at once, and of crashes. */
export interface SwapBounds {
  readonly instances: number
  readonly allowed: number
  readonly crashes: number
  /** Whether instances may announce before their turn, as an overdue one does. */
  readonly overdue: boolean
}

/** Decides the next step of an instance that has read the state of every other one. */
type Decide = (world: World, index: number, bounds: SwapBounds) => SwapStep

/** The protocol: an instance announces its intention, then reads the others' states, then decides. */
export function swapSpecification (bounds: SwapBounds): Specification<World> {
  return specification(bounds, stepAfterAnnouncement, true)
}

/** The naive variant: an instance reads the others' states and swaps without an announcement, so that several may swap at once. */
export function checkThenActSpecification (bounds: SwapBounds): Specification<World> {
  const checkThenAct: Decide = (world, index) => {
    const unavailable = world.instances[index]?.observed.filter(swap => swap === 'away').length ?? 0
    return unavailable < bounds.allowed ? 'start' : 'withdraw'
  }
  return specification(bounds, checkThenAct, false)
}

/** Whether every instance that is alive serves the wanted weights. */
export function isSwapDone (world: object): boolean {
  return (world as World).instances.every(instance => !instance.alive || instance.served === wanted)
}

function specification (bounds: SwapBounds, choose: Decide, announces: boolean): Specification<World> {
  const unread = Array.from({ length: bounds.instances }, () => undefined)
  const fresh: ModelInstance = { alive: true, served: 'old', swap: 'idle', observed: unread }
  const reportedState = (instance: ModelInstance): SwapState | 'done' | 'dead' => {
    if (!instance.alive) return 'dead'
    if (instance.swap === 'intending' && !announces) return 'idle'
    return instance.swap === 'idle' && instance.served === wanted ? 'done' : instance.swap
  }
  const steps: Readonly<Record<string, (world: World, index: number, other: number) => World>> = {
    announce: (world, index) => updateInstance(world, index, { swap: 'intending', observed: unread }),
    read: (world, index, other) => {
      const read = world.instances[index]?.observed.map((known, position) => position === other ? reportedState(world.instances[other] ?? fresh) : known) ?? unread
      return updateInstance(world, index, { observed: read })
    },
    decide: (world, index) => applyStep(world, index, choose(world, index, bounds), unread),
    finish: (world, index) => updateInstance(world, index, { swap: 'idle', served: wanted }),
    crash: (world, index) => ({ ...updateInstance(world, index, { alive: false, swap: 'idle', observed: unread }), crashesLeft: world.crashesLeft - 1 })
  }
  return {
    initial: { instances: Array.from({ length: bounds.instances }, () => fresh), crashesLeft: bounds.crashes },
    actionsOf: world => actionsOf(world, bounds),
    next: (world, action) => {
      const [name = '', index = '0', other = '0'] = action.type.split(' ')
      return steps[name]?.(world, Number(index), Number(other)) ?? world
    },
    violationOf: world => world.instances.filter(instance => instance.alive && instance.swap === 'away').length > bounds.allowed ? 'more instances are unavailable than allowed' : undefined
  }
}

function actionsOf (world: World, bounds: SwapBounds): readonly Action[] {
  const names = world.instances.flatMap((instance, index) => {
    if (!instance.alive) return []
    const crash = world.crashesLeft > 0 ? [`crash ${index}`] : []
    if (instance.swap === 'away') return [...crash, `finish ${index}`]
    if (instance.swap === 'intending') return [...crash, ...pendingReads(instance, index)]
    const mayAnnounce = instance.served !== wanted && stepWhenIdle(world, index, bounds) === 'intend'
    return mayAnnounce ? [...crash, `announce ${index}`] : crash
  })
  return names.map(type => ({ type }))
}

/** Reads happen in any order; the decision follows the last one. */
function pendingReads (instance: ModelInstance, index: number): readonly string[] {
  const reads = instance.observed.flatMap((known, other) => known === undefined && other !== index ? [`read ${index} ${other}`] : [])
  return reads.length > 0 ? reads : [`decide ${index}`]
}

function stepWhenIdle (world: World, index: number, bounds: SwapBounds): SwapStep {
  const peers = world.instances.flatMap((other, position) => position === index || !other.alive ? [] : [peerOf(position, other.swap, other.served)])
  return nextSwapStep({ instance: nameOf(index), served: 'old', swap: 'idle', wanted, peers, allowed: bounds.allowed, isOverdue: bounds.overdue })
}

function stepAfterAnnouncement (world: World, index: number, bounds: SwapBounds): SwapStep {
  const peers = world.instances[index]?.observed.flatMap((known, position) => {
    if (known === undefined || known === 'dead') return []
    return [peerOf(position, known === 'done' ? 'idle' : known, known === 'done' ? wanted : 'old')]
  }) ?? []
  return nextSwapStep({ instance: nameOf(index), served: 'old', swap: 'intending', wanted, peers, allowed: bounds.allowed, isOverdue: bounds.overdue })
}

/** An instance that has to wait keeps its announcement and reads all states again. */
function applyStep (world: World, index: number, step: SwapStep, unread: ModelInstance['observed']): World {
  if (step === 'start') return updateInstance(world, index, { swap: 'away', observed: unread })
  if (step === 'withdraw') return updateInstance(world, index, { swap: 'idle', observed: unread })
  return updateInstance(world, index, { observed: unread })
}

function updateInstance (world: World, index: number, changes: Partial<ModelInstance>): World {
  return { ...world, instances: world.instances.map((instance, position) => position === index ? { ...instance, ...changes } : instance) }
}

function peerOf (position: number, swap: SwapState, served: string): SwapPeer {
  return { instance: nameOf(position), wants: true, served, swap, inFlight: 0, limit: 1, changeMilliseconds: 0 }
}

function nameOf (index: number): string {
  return `model-${index}`
}
