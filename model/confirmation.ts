/** Specification: a confirmation is never valid for longer than the read of the log that it is based on allows. Exercises src/core/configuration/confirmation.ts. */
import { confirmationValidityMilliseconds, confirmByPeer, confirmByRead, mayTakeWork, toPeerConfirmation, unconfirmed, type Confirmation, type PeerConfirmation } from '../src/core/configuration/confirmation.js'
import type { Action, Specification } from './explore.js'

/** Duration of one time step, milliseconds. */
const tickMilliseconds = 2000
const ticks = 4
/** Time at the start, milliseconds; in a confirmation, 0 means never. */
const startAt = 10_000

interface Question { readonly from: number, readonly to: number, readonly sentAt: number, readonly answer: PeerConfirmation | undefined }

interface World {
  readonly now: number
  /** Time from which no node can read the log. */
  readonly outageStartedAt: number | undefined
  readonly nodes: readonly Confirmation[]
  /** Questions and answers in transit; each may take any time. */
  readonly questions: readonly Question[]
}

/** Time from which a follower counts a peer's remaining validity: when it sent its question, or (naive variant) when the answer arrived. */
export type CountedFrom = 'question' | 'arrival'

/** The first node reads the log; all nodes follow each other in a ring. Messages may be delayed for any time, as at a paused node. */
export function confirmationSpecification (nodes: number, countedFrom: CountedFrom): Specification<World> {
  return {
    initial: { now: startAt, outageStartedAt: undefined, nodes: Array.from({ length: nodes }, () => unconfirmed), questions: [] },
    actionsOf: world => actionsOf(world),
    next: (world, action) => next(world, action.type, countedFrom),
    violationOf: ({ now, outageStartedAt, nodes: known }) => {
      const isStale = outageStartedAt !== undefined && known.some(node => now >= outageStartedAt + confirmationValidityMilliseconds && mayTakeWork(node, 'refuse', now))
      return isStale ? 'a node relies on a configuration that no node could confirm' : undefined
    }
  }
}

function actionsOf (world: World): readonly Action[] {
  const names: string[] = []
  if (world.now < startAt + ticks * tickMilliseconds) names.push('tick')
  if (world.outageStartedAt === undefined) names.push('cut')
  if (world.outageStartedAt === undefined && world.nodes[0]?.confirmedUntil !== world.now + confirmationValidityMilliseconds) names.push('read 0')
  world.nodes.forEach((_node, index) => {
    const isAsking = world.questions.some(({ from }) => from === index)
    if (!isAsking) names.push(`ask ${index}`)
  })
  world.questions.forEach(({ answer }, index) => names.push(answer === undefined ? `answer ${index}` : `receive ${index}`))
  return names.map(type => ({ type }))
}

function next (world: World, type: string, countedFrom: CountedFrom): World {
  const [name, subject = '0'] = type.split(' ')
  const index = Number(subject)
  const question = world.questions[index]
  switch (name) {
    case 'tick': return { ...world, now: world.now + tickMilliseconds }
    case 'cut': return { ...world, outageStartedAt: world.now }
    case 'read': return updateNode(world, 0, confirmByRead(world.nodes[0] ?? unconfirmed, world.now))
    case 'ask': return { ...world, questions: [...world.questions, { from: index, to: (index + 1) % world.nodes.length, sentAt: world.now, answer: undefined }] }
    case 'answer': return question === undefined ? world : answer(world, question, index)
    default: return question?.answer === undefined ? world : receive(world, question, question.answer, index, countedFrom)
  }
}

function answer (world: World, question: Question, index: number): World {
  const confirmation = toPeerConfirmation(world.nodes[question.to] ?? unconfirmed, world.now)
  return { ...world, questions: world.questions.with(index, { ...question, answer: confirmation }) }
}

function receive (world: World, question: Question, confirmation: PeerConfirmation, index: number, countedFrom: CountedFrom): World {
  const known = world.nodes[question.from] ?? unconfirmed
  const askedAt = countedFrom === 'question' ? question.sentAt : world.now
  return updateNode({ ...world, questions: world.questions.toSpliced(index, 1) }, question.from, confirmByPeer(known, confirmation, askedAt, true))
}

function updateNode (world: World, index: number, node: Confirmation): World {
  return { ...world, nodes: world.nodes.with(index, node) }
}
