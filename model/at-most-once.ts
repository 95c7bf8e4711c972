/** Specification: the request of an idempotency key runs at most once, and every reported `not-run` is true. Exercises src/core/claims.ts. */
import { abandon, foldClaim, markSent, needsRelease, applyDecision, decideClaim, type Claim, type LocalClaim } from '../src/core/claims.js'
import type { ClaimRecord } from '../src/types/configuration.js'
import type { Action, Specification } from './explore.js'

const content = 'body'

interface ModelAgent {
  readonly alive: boolean
  readonly incarnation: number
  readonly nextOffset: number
  readonly holder: Claim | undefined
  readonly localClaim: LocalClaim | undefined
  /** Indexes of the attempts that wait for the outcome of the local claim. */
  readonly waitingAttempts: readonly number[]
}

/** One request of a caller: the outcome that the caller received, and whether the upstream may have received the request. */
interface Attempt {
  readonly reported: 'nothing' | 'not-run' | 'run' | 'unknown'
  readonly sent: boolean
}

interface World {
  readonly log: readonly ClaimRecord[]
  /** Appends that may still take effect, in any order, or never. */
  readonly pendingAppends: readonly ClaimRecord[]
  readonly agents: readonly ModelAgent[]
  readonly attempts: readonly Attempt[]
  readonly runs: number
  readonly crashesLeft: number
  /** Number of appends that may still take effect twice: their answer was lost, and they were sent again. */
  readonly repeatsLeft: number
}

/** Bounds of the exploration: numbers of agents, attempts, crashes, and appends that take effect twice. */
export interface AtMostOnceBounds { readonly agents: number, readonly attempts: number, readonly crashes: number, readonly repeats: number }

/** The claims protocol: callers may retry at any agent, appends may be lost or late, agents may pause at every step, refuse, and crash. */
export function claimsSpecification (bounds: AtMostOnceBounds): Specification<World> {
  const newAgent: ModelAgent = { alive: true, incarnation: 0, nextOffset: 0, holder: undefined, localClaim: undefined, waitingAttempts: [] }
  return {
    initial: { log: [], pendingAppends: [], agents: Array.from({ length: bounds.agents }, () => newAgent), attempts: [], runs: 0, crashesLeft: bounds.crashes, repeatsLeft: bounds.repeats },
    actionsOf: world => actionsOf(world, bounds),
    next: (world, action) => {
      const [name = '', index = '0'] = action.type.split(' ')
      return steps[name as ActionName](world, Number(index))
    },
    violationOf: world => {
      if (world.runs > 1) return 'the request ran twice'
      return world.attempts.some(attempt => attempt.reported === 'not-run' && attempt.sent) ? 'a not-run was false' : undefined
    }
  }
}

type ActionName = keyof typeof steps

function actionsOf (world: World, bounds: AtMostOnceBounds): readonly Action[] {
  const names = world.pendingAppends.flatMap((_record, index) => [`commit ${index}`, `drop ${index}`, ...(world.repeatsLeft > 0 ? [`repeat ${index}`] : [])])
  world.agents.forEach((agent, index) => {
    if (!agent.alive) {
      names.push(`restart ${index}`)
      return
    }
    if (world.attempts.length < bounds.attempts) names.push(`request ${index}`)
    if (agent.nextOffset < world.log.length) names.push(`read ${index}`)
    if (agent.localClaim !== undefined && abandon(agent.localClaim) !== undefined) names.push(`refuse ${index}`)
    if (agent.localClaim !== undefined && markSent(agent.localClaim) !== undefined) names.push(`send ${index}`)
    if (agent.localClaim?.phase === 'sent' && agent.waitingAttempts.length > 0) names.push(`answer ${index}`, `lose ${index}`)
    if (world.crashesLeft > 0) names.push(`crash ${index}`)
  })
  return names.map(type => ({ type }))
}

const steps = {
  commit: (world: World, index: number): World => {
    const record = world.pendingAppends[index]
    if (record === undefined) return world
    return { ...world, pendingAppends: world.pendingAppends.toSpliced(index, 1), log: [...world.log, record] }
  },
  repeat: (world: World, index: number): World => {
    const record = world.pendingAppends[index]
    return record === undefined ? world : { ...world, log: [...world.log, record], repeatsLeft: world.repeatsLeft - 1 }
  },
  drop: (world: World, index: number): World => ({ ...world, pendingAppends: world.pendingAppends.toSpliced(index, 1) }),
  request,
  read,
  refuse: (world: World, index: number): World => {
    const agent = agentAt(world, index)
    const localClaim = agent.localClaim === undefined ? undefined : abandon(agent.localClaim)
    return release(reportOutcome(updateAgent(world, index, { localClaim }), index, 'not-run'), index)
  },
  send: (world: World, index: number): World => {
    const agent = agentAt(world, index)
    const localClaim = agent.localClaim === undefined ? undefined : markSent(agent.localClaim)
    const attempts = world.attempts.map((attempt, number) => agent.waitingAttempts.includes(number) ? { ...attempt, sent: true } : attempt)
    return { ...updateAgent(world, index, { localClaim }), attempts, runs: world.runs + 1 }
  },
  answer: (world: World, index: number): World => {
    const localClaim = agentAt(world, index).localClaim
    return reportOutcome(updateAgent(world, index, { localClaim: localClaim === undefined ? undefined : { ...localClaim, phase: 'finished' } }), index, 'run')
  },
  lose: (world: World, index: number): World => reportOutcome(world, index, 'unknown'),
  crash: (world: World, index: number): World => {
    const reported = reportOutcome(world, index, 'unknown')
    return { ...updateAgent(reported, index, { alive: false, localClaim: undefined, holder: undefined, nextOffset: 0 }), crashesLeft: world.crashesLeft - 1 }
  },
  restart: (world: World, index: number): World => updateAgent(world, index, { alive: true, incarnation: agentAt(world, index).incarnation + 1 })
} as const

function request (world: World, index: number): World {
  const agent = agentAt(world, index)
  const number = world.attempts.length
  const started: World = { ...world, attempts: [...world.attempts, { reported: 'nothing', sent: agent.localClaim?.phase === 'sent' || agent.localClaim?.phase === 'finished' }] }
  if (agent.localClaim !== undefined && agent.localClaim.phase !== 'abandoned') {
    const waiting = updateAgent(started, index, { waitingAttempts: [...agent.waitingAttempts, number] })
    return agent.localClaim.phase === 'finished' ? reportOutcome(waiting, index, 'run') : waiting
  }
  const id = `claim-${number}`
  const record: ClaimRecord = { type: 'claim', id, key: 'key', content, instance: String(index), incarnation: incarnationOf(agent, index), address: '' }
  return { ...updateAgent(started, index, { localClaim: { id, phase: 'appending' }, waitingAttempts: [number] }), pendingAppends: [...world.pendingAppends, record] }
}

function read (world: World, index: number): World {
  const agent = agentAt(world, index)
  const record = world.log[agent.nextOffset]
  if (record === undefined) return world
  const holder = foldClaim(agent.holder, agent.nextOffset, record)
  const isOwn = record.type === 'claim' && record.id === agent.localClaim?.id
  const localClaim = isOwn && agent.localClaim !== undefined ? applyDecision(agent.localClaim, decideClaim(holder, record.id, content)) : agent.localClaim
  const folded = updateAgent(world, index, { nextOffset: agent.nextOffset + 1, holder, localClaim })
  const isLost = agent.localClaim?.phase === 'appending' && localClaim?.phase === 'abandoned'
  return release(isLost ? reportOutcome(folded, index, holderOutcome(folded, holder)) : folded, index)
}

/** Outcome that the entry gets from the holder of the claim; `unknown` while the request may still run, and when the holder is down or no longer has the claim. */
function holderOutcome (world: World, holder: Claim | undefined): Attempt['reported'] {
  const agent = world.agents[Number(holder?.instance)]
  if (agent === undefined || !agent.alive || agent.localClaim?.id !== holder?.id) return 'unknown'
  if (agent.localClaim?.phase === 'finished') return 'run'
  return agent.localClaim?.phase === 'abandoned' ? 'not-run' : 'unknown'
}

function release (world: World, index: number): World {
  const agent = agentAt(world, index)
  const { holder } = agent
  if (holder === undefined || !needsRelease(holder, incarnationOf(agent, index), agent.localClaim)) return world
  const { id, instance, incarnation, address } = holder
  const record: ClaimRecord = { type: 'release', id, key: 'key', content, instance, incarnation, address }
  const isReleased = [...world.pendingAppends, ...world.log].some(other => other.type === 'release' && other.id === id)
  return isReleased ? world : { ...world, pendingAppends: [...world.pendingAppends, record] }
}

function reportOutcome (world: World, index: number, reported: Attempt['reported']): World {
  const { waitingAttempts: waiting } = agentAt(world, index)
  const attempts = world.attempts.map((attempt, number) => waiting.includes(number) ? { ...attempt, reported } : attempt)
  return updateAgent({ ...world, attempts }, index, { waitingAttempts: [] })
}

function updateAgent (world: World, index: number, changed: Partial<ModelAgent>): World {
  return { ...world, agents: world.agents.map((agent, position) => position === index ? { ...agent, ...changed } : agent) }
}

function agentAt (world: World, index: number): ModelAgent {
  const agent = world.agents[index]
  if (agent === undefined) throw new Error('no such agent')
  return agent
}

function incarnationOf (agent: ModelAgent, index: number): string {
  return `${index}/${agent.incarnation}`
}
