/** Specification: no request is served by weights other than those it was admitted for. Drives src/core/gate.ts and the check of each line. */
import { foldLease, mayOrder, needsLoadOrder, noLease, servedWeights, type LeaseState } from '../src/core/engine-orders.js'
import { checkLine } from '../src/roles/agent/engine-stream.js'
import type { LeaseRecord } from '../src/types/configuration.js'
import type { EngineState } from '../src/types/platform.js'
import type { Action, Specification } from './explore.js'

type Weights = 'old' | 'new'

interface Order { readonly fence: number, readonly manifest: Weights }

interface ModelAgent {
  /** Engine's state as the agent last read it. */
  readonly engine: EngineState | undefined
  readonly ordering: boolean
  readonly lease: LeaseState
  readonly next: number
  readonly wanted: Weights
  /** Weights that the request in flight was admitted for. */
  readonly running: string
}

interface World {
  readonly log: readonly LeaseRecord[]
  /** Lease records that may still land. */
  readonly leases: readonly LeaseRecord[]
  readonly engine: EngineState
  /** Orders on their way; each may arrive late or never. */
  readonly orders: readonly Order[]
  readonly agents: readonly ModelAgent[]
  readonly ordersLeft: number
  readonly restartsLeft: number
  /** Whether a caller got a token of weights that its request was not admitted for. */
  readonly mixed: boolean
}

/** What is walked. */
export interface OrderBounds {
  readonly fencing: 'checked' | 'ignored'
  /** `states` reads the engine's own digest and checks each line; `answers` trusts the last answer it got, such as an order's 200, and checks no line. */
  readonly trust: 'states' | 'answers'
  readonly orders: number
  readonly restarts: number
}

/** Two agents of one slot: the second replaces the first, which may be paused anywhere. */
export function ordersSpecification (bounds: OrderBounds): Specification<World> {
  const agent = (wanted: Weights): ModelAgent => ({ engine: undefined, ordering: false, lease: noLease, next: 0, wanted, running: '' })
  const lease = (holder: number): LeaseRecord => ({ type: 'lease', id: String(holder), instance: 'one', incarnation: String(holder) })
  const engine: EngineState = { incarnation: '0', weights: 'old', role: '', loading: null, fence: -1, running: 0 }
  return {
    initial: { log: [], leases: [lease(0), lease(1)], engine, orders: [], agents: [agent('new'), agent('old')], ordersLeft: bounds.orders, restartsLeft: bounds.restarts, mixed: false },
    actionsOf: world => actionsOf(world, bounds),
    next: (world, action) => step(world, action.type, bounds),
    broken: world => world.mixed ? 'a request was served by other weights' : undefined
  }
}

function actionsOf (world: World, bounds: OrderBounds): readonly Action[] {
  const names = world.leases.map((_record, index) => `lease ${index}`)
  world.orders.forEach((_order, index) => { names.push(`arrive ${index}`, `lose ${index}`) })
  if (world.engine.loading !== null) names.push('load')
  if (world.restartsLeft > 0) names.push('restart')
  world.agents.forEach((agent, index) => {
    if (agent.next < world.log.length) names.push(`fold ${index}`)
    names.push(`read ${index}`)
    if (agent.running === '' && servedOf(agent) !== '') names.push(`admit ${index}`)
    if (agent.running !== '') names.push(`token ${index}`, `end ${index}`)
    if (world.ordersLeft > 0 && mayOrder(agent.lease) && !agent.ordering && agent.running === '' && needsLoadOrder(viewOf(agent), true)) names.push(`order ${index}`)
    const isAnswered = world.engine.weights === agent.wanted
    if (agent.ordering && (bounds.trust === 'states' || isAnswered)) names.push(`settle ${index}`)
  })
  return names.map(type => ({ type }))
}

function step (world: World, name: string, bounds: OrderBounds): World {
  const [verb, subject] = name.split(' ')
  const index = Number(subject)
  if (verb === 'lease') return { ...world, log: [...world.log, ...world.leases.slice(index, index + 1)], leases: world.leases.toSpliced(index, 1) }
  if (verb === 'lose') return { ...world, orders: world.orders.toSpliced(index, 1) }
  if (verb === 'arrive') return arrive(world, index, bounds)
  if (verb === 'load') return { ...world, engine: { ...world.engine, weights: world.engine.loading, loading: null } }
  if (verb === 'restart') return { ...world, restartsLeft: world.restartsLeft - 1, engine: { ...world.engine, incarnation: String(world.restartsLeft), weights: null, loading: null, fence: -1 }, agents: world.agents.map(agent => ({ ...agent, running: '' })) }
  return agentStep(world, verb ?? '', index, bounds)
}

function arrive (world: World, index: number, bounds: OrderBounds): World {
  const order = world.orders[index]
  const orders = world.orders.toSpliced(index, 1)
  if (order === undefined || (bounds.fencing === 'checked' && order.fence < world.engine.fence)) return { ...world, orders }
  const fence = bounds.fencing === 'checked' ? order.fence : -1
  return { ...world, orders, engine: { ...world.engine, weights: null, loading: order.manifest, fence } }
}

function agentStep (world: World, verb: string, index: number, bounds: OrderBounds): World {
  const agent = world.agents[index]
  if (agent === undefined) throw new Error('no such agent')
  const change = (changed: Partial<ModelAgent>): World => ({ ...world, agents: world.agents.map((other, position) => position === index ? { ...other, ...changed } : other) })
  if (verb === 'fold') return change({ next: agent.next + 1, lease: foldNext(world, agent, index) })
  if (verb === 'read') return change({ engine: world.engine })
  if (verb === 'admit') return change({ running: servedOf(agent) })
  if (verb === 'end') return change({ running: '' })
  if (verb === 'order') return { ...change({ ordering: true }), ordersLeft: world.ordersLeft - 1, orders: [...world.orders, { fence: agent.lease.fence ?? -1, manifest: agent.wanted }] }
  if (verb === 'settle') return change({ ordering: false, engine: bounds.trust === 'states' ? world.engine : believed(agent) })
  return token(world, agent, change, bounds)
}

function foldNext (world: World, agent: ModelAgent, index: number): LeaseState {
  const record = world.log[agent.next]
  return record === undefined ? agent.lease : foldLease(agent.lease, 'one', String(index), agent.next, record)
}

/** The naive agent takes its order's 200, which came after the load, for the state from then on. */
function believed (agent: ModelAgent): EngineState | undefined {
  return agent.engine === undefined ? undefined : { ...agent.engine, weights: agent.wanted, loading: null }
}

/** The engine sends a token of whatever it holds now; a loading engine sends none. */
function token (world: World, agent: ModelAgent, change: (changed: Partial<ModelAgent>) => World, bounds: OrderBounds): World {
  const { weights } = world.engine
  if (weights === null) return change({ running: '' })
  if (bounds.trust === 'answers') return { ...world, mixed: weights !== agent.running }
  try {
    checkLine(JSON.stringify({ type: 'token', id: 'request', index: 0, token: 'x', weights }), { id: 'request', weights: agent.running, next: 0 })
    return { ...world, mixed: weights !== agent.running }
  } catch {
    return change({ running: '' })
  }
}

function viewOf (agent: ModelAgent): Parameters<typeof servedWeights>[0] {
  return { wanted: agent.wanted, engine: agent.engine, isOrdering: agent.ordering }
}

function servedOf (agent: ModelAgent): string {
  return agent.lease.isSuperseded ? '' : servedWeights(viewOf(agent))
}
