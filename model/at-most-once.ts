/** Specification: a key's request runs at most once, and every `not-run` that was told is true. Drives src/core/claims.ts. */
import { abandon, foldClaim, markSent, needsRelease, applyDecision, decideClaim, type Claim, type LocalClaim } from '../src/core/claims.js'
import type { ClaimRecord } from '../src/types/configuration.js'
import type { Action, Specification } from './explore.js'

const content = 'body'

interface ModelAgent {
  readonly alive: boolean
  readonly incarnation: number
  readonly next: number
  readonly holder: Claim | undefined
  readonly own: LocalClaim | undefined
  /** Attempts that wait for the own claim's outcome. */
  readonly waiting: readonly number[]
}

interface Attempt {
  readonly told: 'nothing' | 'not-run' | 'run' | 'unknown'
  readonly sent: boolean
}

interface World {
  readonly log: readonly ClaimRecord[]
  /** Appends that may still take effect, in any order, or never. */
  readonly transit: readonly ClaimRecord[]
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
  const fresh: ModelAgent = { alive: true, incarnation: 0, next: 0, holder: undefined, own: undefined, waiting: [] }
  return {
    initial: { log: [], transit: [], agents: Array.from({ length: bounds.agents }, () => fresh), attempts: [], runs: 0, crashesLeft: bounds.crashes, repeatsLeft: bounds.repeats },
    actionsOf: world => actionsOf(world, bounds),
    next: (world, action) => {
      const [verb = '', subject = '0'] = action.type.split(' ')
      return steps[verb as Verb](world, Number(subject))
    },
    broken: world => {
      if (world.runs > 1) return 'the request ran twice'
      return world.attempts.some(attempt => attempt.told === 'not-run' && attempt.sent) ? 'a not-run was false' : undefined
    }
  }
}

type Verb = keyof typeof steps

function actionsOf (world: World, bounds: AtMostOnceBounds): readonly Action[] {
  const names = world.transit.flatMap((_record, index) => [`land ${index}`, `drop ${index}`, ...(world.repeatsLeft > 0 ? [`repeat ${index}`] : [])])
  world.agents.forEach((agent, index) => {
    if (!agent.alive) {
      names.push(`restart ${index}`)
      return
    }
    if (world.attempts.length < bounds.attempts) names.push(`request ${index}`)
    if (agent.next < world.log.length) names.push(`read ${index}`)
    if (agent.own !== undefined && abandon(agent.own) !== undefined) names.push(`refuse ${index}`)
    if (agent.own !== undefined && markSent(agent.own) !== undefined) names.push(`send ${index}`)
    if (agent.own?.phase === 'sent' && agent.waiting.length > 0) names.push(`answer ${index}`, `lose ${index}`)
    if (world.crashesLeft > 0) names.push(`crash ${index}`)
  })
  return names.map(type => ({ type }))
}

const steps = {
  land: (world: World, index: number): World => {
    const record = world.transit[index]
    if (record === undefined) return world
    return { ...world, transit: world.transit.toSpliced(index, 1), log: [...world.log, record] }
  },
  repeat: (world: World, index: number): World => {
    const record = world.transit[index]
    return record === undefined ? world : { ...world, log: [...world.log, record], repeatsLeft: world.repeatsLeft - 1 }
  },
  drop: (world: World, index: number): World => ({ ...world, transit: world.transit.toSpliced(index, 1) }),
  request,
  read,
  refuse: (world: World, index: number): World => {
    const agent = agentAt(world, index)
    const own = agent.own === undefined ? undefined : abandon(agent.own)
    return release(tell(change(world, index, { own }), index, 'not-run'), index)
  },
  send: (world: World, index: number): World => {
    const agent = agentAt(world, index)
    const own = agent.own === undefined ? undefined : markSent(agent.own)
    const attempts = world.attempts.map((attempt, number) => agent.waiting.includes(number) ? { ...attempt, sent: true } : attempt)
    return { ...change(world, index, { own }), attempts, runs: world.runs + 1 }
  },
  answer: (world: World, index: number): World => {
    const own = agentAt(world, index).own
    return tell(change(world, index, { own: own === undefined ? undefined : { ...own, phase: 'finished' } }), index, 'run')
  },
  lose: (world: World, index: number): World => tell(world, index, 'unknown'),
  crash: (world: World, index: number): World => {
    const told = tell(world, index, 'unknown')
    return { ...change(told, index, { alive: false, own: undefined, holder: undefined, next: 0 }), crashesLeft: world.crashesLeft - 1 }
  },
  restart: (world: World, index: number): World => change(world, index, { alive: true, incarnation: agentAt(world, index).incarnation + 1 })
} as const

function request (world: World, index: number): World {
  const agent = agentAt(world, index)
  const number = world.attempts.length
  const begun: World = { ...world, attempts: [...world.attempts, { told: 'nothing', sent: agent.own?.phase === 'sent' || agent.own?.phase === 'finished' }] }
  if (agent.own !== undefined && agent.own.phase !== 'abandoned') {
    const joined = change(begun, index, { waiting: [...agent.waiting, number] })
    return agent.own.phase === 'finished' ? tell(joined, index, 'run') : joined
  }
  const id = `claim-${number}`
  const record: ClaimRecord = { type: 'claim', id, key: 'key', content, instance: String(index), incarnation: incarnationOf(agent, index), address: '' }
  return { ...change(begun, index, { own: { id, phase: 'appending' }, waiting: [number] }), transit: [...world.transit, record] }
}

function read (world: World, index: number): World {
  const agent = agentAt(world, index)
  const record = world.log[agent.next]
  if (record === undefined) return world
  const holder = foldClaim(agent.holder, agent.next, record)
  const isOwn = record.type === 'claim' && record.id === agent.own?.id
  const own = isOwn && agent.own !== undefined ? applyDecision(agent.own, decideClaim(holder, record.id, content)) : agent.own
  const folded = change(world, index, { next: agent.next + 1, holder, own })
  const lost = agent.own?.phase === 'appending' && own?.phase === 'abandoned'
  return release(lost ? tell(folded, index, holderOutcome(folded, holder)) : folded, index)
}

/** What the entry learns from the claim's holder: only the same incarnation can say more than `unknown`. */
function holderOutcome (world: World, holder: Claim | undefined): Attempt['told'] {
  const agent = world.agents[Number(holder?.instance)]
  if (agent === undefined || !agent.alive || agent.own?.id !== holder?.id) return 'unknown'
  if (agent.own?.phase === 'finished') return 'run'
  return agent.own?.phase === 'abandoned' ? 'not-run' : 'unknown'
}

function release (world: World, index: number): World {
  const agent = agentAt(world, index)
  const { holder } = agent
  if (holder === undefined || !needsRelease(holder, incarnationOf(agent, index), agent.own)) return world
  const { id, instance, incarnation, address } = holder
  const record: ClaimRecord = { type: 'release', id, key: 'key', content, instance, incarnation, address }
  const known = [...world.transit, ...world.log].some(other => other.type === 'release' && other.id === id)
  return known ? world : { ...world, transit: [...world.transit, record] }
}

function tell (world: World, index: number, told: Attempt['told']): World {
  const { waiting } = agentAt(world, index)
  const attempts = world.attempts.map((attempt, number) => waiting.includes(number) ? { ...attempt, told } : attempt)
  return change({ ...world, attempts }, index, { waiting: [] })
}

function change (world: World, index: number, changed: Partial<ModelAgent>): World {
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
