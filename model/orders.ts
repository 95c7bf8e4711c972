/** Specification: no request is served by weights other than those it was admitted for. Exercises src/core/engine-orders.ts and the check of each line in src/roles/agent/engine-stream.ts. */
import { foldLease, mayOrder, needsLoadOrder, noLease, servedWeights, type LeaseState } from '../src/core/engine-orders.js'
import { checkLine } from '../src/roles/agent/engine-stream.js'
import type { LeaseRecord } from '../src/types/configuration.js'
import type { EngineState } from '../src/types/platform.js'
import type { Action, Specification } from './explore.js'

type Weights = 'old' | 'new'

interface Order { readonly fence: number, readonly manifest: Weights }

interface ModelAgent {
  /** State of the engine as of the agent's last read. */
  readonly engine: EngineState | undefined
  readonly isOrdering: boolean
  readonly lease: LeaseState
  readonly nextOffset: number
  readonly wanted: Weights
  /** Weights that the request in flight was admitted for; empty without one. */
  readonly admittedWeights: string
}

interface World {
  readonly log: readonly LeaseRecord[]
  /** Lease records that may still be appended. */
  readonly pendingLeases: readonly LeaseRecord[]
  readonly engine: EngineState
  /** Orders in transit; each may arrive late or never. */
  readonly pendingOrders: readonly Order[]
  readonly agents: readonly ModelAgent[]
  readonly ordersLeft: number
  readonly restartsLeft: number
  /** Whether the last token came from weights that its request was not admitted for. */
  readonly hasServedOtherWeights: boolean
}

/** Bounds of the exploration, and the variant of the protocol. */
export interface OrderBounds {
  readonly fencing: 'checked' | 'ignored'
  /** `states`: the agent reads the digest that the engine reports and checks each line. `answers` (naive): it infers the state from the last answer, such as an order's 200, and checks no line. */
  readonly trust: 'states' | 'answers'
  readonly orders: number
  readonly restarts: number
}

/** Two agents of one slot: the second replaces the first, which may be paused at any step. */
export function ordersSpecification (bounds: OrderBounds): Specification<World> {
  const agent = (wanted: Weights): ModelAgent => ({ engine: undefined, isOrdering: false, lease: noLease, nextOffset: 0, wanted, admittedWeights: '' })
  const lease = (holder: number): LeaseRecord => ({ type: 'lease', id: String(holder), instance: 'one', incarnation: String(holder) })
  const engine: EngineState = { incarnation: '0', weights: 'old', role: '', loading: null, fence: -1, running: 0 }
  return {
    initial: { log: [], pendingLeases: [lease(0), lease(1)], engine, pendingOrders: [], agents: [agent('new'), agent('old')], ordersLeft: bounds.orders, restartsLeft: bounds.restarts, hasServedOtherWeights: false },
    actionsOf: world => actionsOf(world, bounds),
    next: (world, action) => step(world, action.type, bounds),
    violationOf: world => world.hasServedOtherWeights ? 'a request was served by other weights' : undefined
  }
}

function actionsOf (world: World, bounds: OrderBounds): readonly Action[] {
  const names = world.pendingLeases.map((_record, index) => `lease ${index}`)
  world.pendingOrders.forEach((_order, index) => { names.push(`arrive ${index}`, `lose ${index}`) })
  if (world.engine.loading !== null) names.push('load')
  if (world.restartsLeft > 0) names.push('restart')
  world.agents.forEach((agent, index) => {
    if (agent.nextOffset < world.log.length) names.push(`fold ${index}`)
    names.push(`read ${index}`)
    if (agent.admittedWeights === '' && servedOf(agent) !== '') names.push(`admit ${index}`)
    if (agent.admittedWeights !== '') names.push(`token ${index}`, `end ${index}`)
    if (world.ordersLeft > 0 && mayOrder(agent.lease) && !agent.isOrdering && agent.admittedWeights === '' && needsLoadOrder(viewOf(agent), true)) names.push(`order ${index}`)
    const isAnswered = world.engine.weights === agent.wanted
    if (agent.isOrdering && (bounds.trust === 'states' || isAnswered)) names.push(`resolve ${index}`)
  })
  return names.map(type => ({ type }))
}

function step (world: World, name: string, bounds: OrderBounds): World {
  const [action, subject] = name.split(' ')
  const index = Number(subject)
  if (action === 'lease') return { ...world, log: [...world.log, ...world.pendingLeases.slice(index, index + 1)], pendingLeases: world.pendingLeases.toSpliced(index, 1) }
  if (action === 'lose') return { ...world, pendingOrders: world.pendingOrders.toSpliced(index, 1) }
  if (action === 'arrive') return arrive(world, index, bounds)
  if (action === 'load') return { ...world, engine: { ...world.engine, weights: world.engine.loading, loading: null } }
  if (action === 'restart') return { ...world, restartsLeft: world.restartsLeft - 1, engine: { ...world.engine, incarnation: String(world.restartsLeft), weights: null, loading: null, fence: -1 }, agents: world.agents.map(agent => ({ ...agent, admittedWeights: '' })) }
  return agentStep(world, action ?? '', index, bounds)
}

function arrive (world: World, index: number, bounds: OrderBounds): World {
  const order = world.pendingOrders[index]
  const orders = world.pendingOrders.toSpliced(index, 1)
  if (order === undefined || (bounds.fencing === 'checked' && order.fence < world.engine.fence)) return { ...world, pendingOrders: orders }
  const fence = bounds.fencing === 'checked' ? order.fence : -1
  return { ...world, pendingOrders: orders, engine: { ...world.engine, weights: null, loading: order.manifest, fence } }
}

function agentStep (world: World, action: string, index: number, bounds: OrderBounds): World {
  const agent = world.agents[index]
  if (agent === undefined) throw new Error('no such agent')
  const change = (changed: Partial<ModelAgent>): World => ({ ...world, agents: world.agents.map((other, position) => position === index ? { ...other, ...changed } : other) })
  if (action === 'fold') return change({ nextOffset: agent.nextOffset + 1, lease: foldNext(world, agent, index) })
  if (action === 'read') return change({ engine: world.engine })
  if (action === 'admit') return change({ admittedWeights: servedOf(agent) })
  if (action === 'end') return change({ admittedWeights: '' })
  if (action === 'order') return { ...change({ isOrdering: true }), ordersLeft: world.ordersLeft - 1, pendingOrders: [...world.pendingOrders, { fence: agent.lease.fence ?? -1, manifest: agent.wanted }] }
  if (action === 'resolve') return change({ isOrdering: false, engine: bounds.trust === 'states' ? world.engine : assumedState(agent) })
  return token(world, agent, change, bounds)
}

function foldNext (world: World, agent: ModelAgent, index: number): LeaseState {
  const record = world.log[agent.nextOffset]
  return record === undefined ? agent.lease : foldLease(agent.lease, 'one', String(index), agent.nextOffset, record)
}

/** State that the naive agent infers from the 200 to its order, which is sent after the load. */
function assumedState (agent: ModelAgent): EngineState | undefined {
  return agent.engine === undefined ? undefined : { ...agent.engine, weights: agent.wanted, loading: null }
}

/** The engine sends a token of its current weights; without weights, as during a load, the request ends. */
function token (world: World, agent: ModelAgent, change: (changed: Partial<ModelAgent>) => World, bounds: OrderBounds): World {
  const { weights } = world.engine
  if (weights === null) return change({ admittedWeights: '' })
  if (bounds.trust === 'answers') return { ...world, hasServedOtherWeights: weights !== agent.admittedWeights }
  try {
    checkLine(JSON.stringify({ type: 'token', id: 'request', index: 0, token: 'x', weights }), { id: 'request', weights: agent.admittedWeights, next: 0 })
    return { ...world, hasServedOtherWeights: weights !== agent.admittedWeights }
  } catch {
    return change({ admittedWeights: '' })
  }
}

function viewOf (agent: ModelAgent): Parameters<typeof servedWeights>[0] {
  return { wanted: agent.wanted, engine: agent.engine, isOrdering: agent.isOrdering }
}

function servedOf (agent: ModelAgent): string {
  return agent.lease.isSuperseded ? '' : servedWeights(viewOf(agent))
}
