/** Specification: a key's request runs at most once, and every `not-run` that was told is true. Drives src/core/claims.ts. */
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
  /** Attempts that wait for the own claim's outcome. */
  readonly waitingAttempts: readonly number[]
}

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
  /** Appends that may take effect twice, because their answer was lost and they were sent again. */
  readonly repeatsLeft: number
}

/** Bounds of the walk. */
export interface AtMostOnceBounds { readonly agents: number, readonly attempts: number, readonly crashes: number, readonly repeats: number }

/** The claims protocol, with resends to any agent, lost and late appends, pauses at every step, refusals, and crashes. */
export function claimsSpecification (bounds: AtMostOnceBounds): Specification<World> {
  const newAgent: ModelAgent = { alive: true, incarnation: 0, nextOffset: 0, holder: undefined, localClaim: undefined, waitingAttempts: [] }
  return {
    initial: { log: [], pendingAppends: [], agents: Array.from({ length: bounds.agents }, () => newAgent), attempts: [], runs: 0, crashesLeft: bounds.crashes, repeatsLeft: bounds.repeats },
    actionsOf: world => actionsOf(world, bounds),
    next: (world, action) => {
      const [verb = '', subject = '0'] = action.type.split(' ')
      return steps[verb as ActionName](world, Number(subject))
    },
    violationOf: world => {
      if (world.runs > 1) return 'the request ran twice'
      return world.attempts.some(attempt => attempt.reported === 'not-run' && attempt.sent) ? 'a not-run was false' : undefined
    }
  }
}

type ActionName = keyof typeof steps

function actionsOf (world: World, bounds: AtMostOnceBounds): readonly Action[] {
  const names = world.pendingAppends.flatMap((_record, index) => [`land ${index}`, `drop ${index}`, ...(world.repeatsLeft > 0 ? [`repeat ${index}`] : [])])
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
  land: (world: World, index: number): World => {
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
    const own = agent.localClaim === undefined ? undefined : abandon(agent.localClaim)
    return release(reportOutcome(updateAgent(world, index, { localClaim: own }), index, 'not-run'), index)
  },
  send: (world: World, index: number): World => {
    const agent = agentAt(world, index)
    const own = agent.localClaim === undefined ? undefined : markSent(agent.localClaim)
    const attempts = world.attempts.map((attempt, number) => agent.waitingAttempts.includes(number) ? { ...attempt, sent: true } : attempt)
    return { ...updateAgent(world, index, { localClaim: own }), attempts, runs: world.runs + 1 }
  },
  answer: (world: World, index: number): World => {
    const own = agentAt(world, index).localClaim
    return reportOutcome(updateAgent(world, index, { localClaim: own === undefined ? undefined : { ...own, phase: 'finished' } }), index, 'run')
  },
  lose: (world: World, index: number): World => reportOutcome(world, index, 'unknown'),
  crash: (world: World, index: number): World => {
    const told = reportOutcome(world, index, 'unknown')
    return { ...updateAgent(told, index, { alive: false, localClaim: undefined, holder: undefined, nextOffset: 0 }), crashesLeft: world.crashesLeft - 1 }
  },
  restart: (world: World, index: number): World => updateAgent(world, index, { alive: true, incarnation: agentAt(world, index).incarnation + 1 })
} as const

function request (world: World, index: number): World {
  const agent = agentAt(world, index)
  const number = world.attempts.length
  const begun: World = { ...world, attempts: [...world.attempts, { reported: 'nothing', sent: agent.localClaim?.phase === 'sent' || agent.localClaim?.phase === 'finished' }] }
  if (agent.localClaim !== undefined && agent.localClaim.phase !== 'abandoned') {
    const joined = updateAgent(begun, index, { waitingAttempts: [...agent.waitingAttempts, number] })
    return agent.localClaim.phase === 'finished' ? reportOutcome(joined, index, 'run') : joined
  }
  const id = `claim-${number}`
  const record: ClaimRecord = { type: 'claim', id, key: 'key', content, instance: String(index), incarnation: incarnationOf(agent, index), address: '' }
  return { ...updateAgent(begun, index, { localClaim: { id, phase: 'appending' }, waitingAttempts: [number] }), pendingAppends: [...world.pendingAppends, record] }
}

function read (world: World, index: number): World {
  const agent = agentAt(world, index)
  const record = world.log[agent.nextOffset]
  if (record === undefined) return world
  const holder = foldClaim(agent.holder, agent.nextOffset, record)
  const isOwn = record.type === 'claim' && record.id === agent.localClaim?.id
  const own = isOwn && agent.localClaim !== undefined ? applyDecision(agent.localClaim, decideClaim(holder, record.id, content)) : agent.localClaim
  const folded = updateAgent(world, index, { nextOffset: agent.nextOffset + 1, holder, localClaim: own })
  const lost = agent.localClaim?.phase === 'appending' && own?.phase === 'abandoned'
  return release(lost ? reportOutcome(folded, index, holderOutcome(folded, holder)) : folded, index)
}

/** What the entry learns from the claim's holder: only the same incarnation can say more than `unknown`. */
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
  const known = [...world.pendingAppends, ...world.log].some(other => other.type === 'release' && other.id === id)
  return known ? world : { ...world, pendingAppends: [...world.pendingAppends, record] }
}

function reportOutcome (world: World, index: number, told: Attempt['reported']): World {
  const { waitingAttempts: waiting } = agentAt(world, index)
  const attempts = world.attempts.map((attempt, number) => waiting.includes(number) ? { ...attempt, reported: told } : attempt)
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
