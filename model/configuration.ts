/** Specification: no node's configuration reverts or forks, and operators receive true outcomes. Exercises src/core/configuration. */
import { emptyFold, foldPage, makeSnapshot } from '../src/core/configuration/fold.js'
import { foldPeerUpdate } from '../src/core/configuration/peer-update.js'
import { createChangeRecord, mayRebase, resolveChange } from '../src/core/configuration/change-outcome.js'
import { emptyWindow, extendWindow, catchUpFrom, type RecordWindow } from '../src/core/configuration/record-window.js'
import type { Change, Configuration, FoldState } from '../src/types/configuration.js'
import type { StoredRecord, StreamPage } from '../src/types/platform.js'
import { canonicalJson } from '../src/utils/digest.js'
import type { Action, Specification } from './explore.js'

const configuration: Configuration = {
  deployment: { name: 'model', weighting: 'service', logDataCentre: 'west', whenIsolated: 'refuse' },
  dataCentres: { west: { region: 'west', state: 'in' }, east: { region: 'east', state: 'in' } },
  organisations: {},
  services: {},
  intents: {}
}
const takeOutEast: Change = { kind: 'data-centre', dataCentre: 'east', state: 'out' }
/** Change of the second operator, concurrent with the first operator's change of the data centre's state. */
const competingChanges = {
  'same scope': { kind: 'data-centre', dataCentre: 'east', state: 'in' },
  replace: { kind: 'replace', configuration }
} as const satisfies Readonly<Record<string, Change>>

interface ModelNode {
  readonly state: FoldState
  readonly window: RecordWindow
  /** Highest offset of this incarnation. */
  readonly highestOffset: number
}

interface Operator {
  readonly change: Change
  readonly reported: 'nothing' | 'accepted' | 'refused' | 'unknown'
  /** Number of appends made. */
  readonly attempts: number
  /** State that the last append was based on. */
  readonly base: FoldState | undefined
}

interface World {
  /** Bodies of all records that were ever appended. */
  readonly log: readonly string[]
  /** Oldest offset that the log retains. */
  readonly firstOffset: number
  readonly isLogDown: boolean
  /** Appends whose answer is lost and which may still take effect, or never. */
  readonly pendingAppends: readonly string[]
  readonly nodes: readonly ModelNode[]
  readonly operators: readonly Operator[]
  readonly restartsLeft: number
  readonly snapshotsLeft: number
  readonly outagesLeft: number
}

/** Bounds of the exploration, and the second operator's change. */
export interface ConfigurationBounds { readonly nodes: number, readonly restarts: number, readonly snapshots: number, readonly outages: number, readonly competingChange: keyof typeof competingChanges }

/** What an operator's command does when the answer to its append is lost and the log does not hold the record. */
export type AfterLostAnswer = 'report unknown' | 'append again'

const maximumAttempts = 2
const newNode: ModelNode = { state: emptyFold, window: emptyWindow, highestOffset: 0 }

/** The protocol of configuration changes; `append again` is the naive variant, which can report a false outcome. */
export function configurationSpecification (bounds: ConfigurationBounds, afterLostAnswer: AfterLostAnswer): Specification<World> {
  const first = JSON.stringify(createChangeRecord(emptyFold, { kind: 'replace', configuration }, 'first', 'model', 0))
  return {
    initial: {
      log: [first],
      firstOffset: 0,
      isLogDown: false,
      pendingAppends: [],
      nodes: Array.from({ length: bounds.nodes }, () => newNode),
      operators: [takeOutEast, competingChanges[bounds.competingChange]].map(change => ({ change, reported: 'nothing', attempts: 0, base: undefined })),
      restartsLeft: bounds.restarts,
      snapshotsLeft: bounds.snapshots,
      outagesLeft: bounds.outages
    },
    actionsOf: world => actionsOf(world, afterLostAnswer),
    next: (world, action) => {
      const [name = '', index = '0', source = '0'] = action.type.split(' ')
      return steps[name as ActionName](world, Number(index), Number(source))
    },
    violationOf: findViolation
  }
}

type ActionName = keyof typeof steps

function actionsOf (world: World, afterLostAnswer: AfterLostAnswer): readonly Action[] {
  const names: string[] = []
  world.nodes.forEach((node, index) => {
    if (!world.isLogDown && node.state.next < world.log.length) names.push(`read ${index}`)
    world.nodes.forEach((other, source) => { if (source !== index && other.state.next > 0) names.push(`follow ${index} ${source}`) })
    if (world.restartsLeft > 0 && node.state.next > 0) names.push(`restart ${index}`)
    if (!world.isLogDown && world.snapshotsLeft > 0 && node.state.next > 1) names.push(`snapshot ${index}`)
  })
  if (!world.isLogDown) {
    world.pendingAppends.forEach((_body, index) => names.push(`commit ${index}`, `drop ${index}`))
    if (firstUncoveredOffset(world) > world.firstOffset) names.push('expire')
    if (world.outagesLeft > 0) names.push('down')
    world.operators.forEach((operator, index) => { names.push(...operatorActions(world, operator, index, afterLostAnswer)) })
  } else names.push('up')
  return names.map(type => ({ type }))
}

function operatorActions (world: World, operator: Operator, index: number, afterLostAnswer: AfterLostAnswer): readonly string[] {
  if (operator.attempts === 0) return [`append ${index}`]
  if (operator.reported !== 'nothing' || operator.base === undefined) return []
  const outcome = resolveChange(operator.base, pageFrom(world, operator.base.next), idOf(operator, index))
  if (outcome.tag !== 'absent') return [`resolve ${index}`]
  if (afterLostAnswer === 'report unknown') return [`timeOut ${index}`]
  return operator.attempts < maximumAttempts ? [`append ${index}`] : []
}

const steps = {
  read: (world: World, index: number): World => {
    const node = nodeAt(world, index)
    const page = pageFrom(world, node.state.next)
    return advanceNode(world, index, foldPage(node.state, page), page.records)
  },
  follow: (world: World, index: number, source: number): World => {
    const node = nodeAt(world, index)
    const suffix = catchUpFrom(nodeAt(world, source).window, node.state.next)
    return advanceNode(world, index, foldPeerUpdate(node.state, suffix), suffix.records)
  },
  restart: (world: World, index: number): World => ({ ...updateNode(world, index, newNode), restartsLeft: world.restartsLeft - 1 }),
  snapshot: (world: World, index: number): World => {
    const snapshot = makeSnapshot(nodeAt(world, index).state, `snapshot-${world.snapshotsLeft}`)
    return { ...world, pendingAppends: [...world.pendingAppends, JSON.stringify(snapshot)], snapshotsLeft: world.snapshotsLeft - 1 }
  },
  commit: (world: World, index: number): World => ({ ...world, pendingAppends: world.pendingAppends.toSpliced(index, 1), log: [...world.log, ...world.pendingAppends.slice(index, index + 1)] }),
  drop: (world: World, index: number): World => ({ ...world, pendingAppends: world.pendingAppends.toSpliced(index, 1) }),
  expire: (world: World): World => ({ ...world, firstOffset: firstUncoveredOffset(world) }),
  down: (world: World): World => ({ ...world, isLogDown: true, outagesLeft: world.outagesLeft - 1 }),
  up: (world: World): World => ({ ...world, isLogDown: false }),
  append: (world: World, index: number): World => append(world, index, foldPage(emptyFold, pageFrom(world, 0))),
  resolve: resolveOperator,
  timeOut: (world: World, index: number): World => updateOperator(world, index, { reported: 'unknown' })
} as const

function append (world: World, index: number, base: FoldState): World {
  const operator = operatorAt(world, index)
  const updated: Operator = { ...operator, attempts: operator.attempts + 1, base }
  const body = JSON.stringify(createChangeRecord(base, operator.change, idOf(updated, index), 'model', 0))
  return { ...updateOperator(world, index, updated), pendingAppends: [...world.pendingAppends, body] }
}

function resolveOperator (world: World, index: number): World {
  const operator = operatorAt(world, index)
  const base = operator.base ?? emptyFold
  const outcome = resolveChange(base, pageFrom(world, base.next), idOf(operator, index))
  if (outcome.tag === 'absent') return world
  const current = foldPage(base, pageFrom(world, base.next))
  const rebases = outcome.tag === 'refused' && operator.attempts < maximumAttempts && mayRebase(operator.change, base, current)
  return rebases ? append(world, index, current) : updateOperator(world, index, { reported: outcome.tag })
}

/** Compares every node and every reported outcome with a plain fold of all records ever appended. */
function findViolation (world: World): string | undefined {
  const prefixes = world.log.reduce<FoldState[]>((states, body, offset) => {
    const before = states.at(-1) ?? emptyFold
    return [...states, foldPage(before, { first: 0, next: offset + 1, records: [{ offset, at: 0, body }] })]
  }, [emptyFold])
  for (const { state, highestOffset } of world.nodes) {
    if (state.next < highestOffset) return 'a node reverted'
    if (state.next > 0 && canonicalState(state) !== canonicalState(prefixes[state.next])) return 'a node forked'
  }
  const complete = prefixes.at(-1) ?? emptyFold
  for (const [index, { reported, attempts }] of world.operators.entries()) {
    const accepted = Array.from({ length: attempts }, (_, attempt) => `${index}/${attempt + 1}`).filter(id => isAccepted(world, complete, id))
    if (accepted.length > 1) return 'a change took effect twice'
    if (reported === 'accepted' && accepted.length === 0) return 'an operator received a false accepted'
    if (reported === 'refused' && accepted.length > 0) return 'an operator received a false refused'
  }
  return undefined
}

function isAccepted (world: World, complete: FoldState, id: string): boolean {
  const offsets = world.log.flatMap((body, offset) => body.includes(`"id":"${id}"`) ? [offset] : [])
  return offsets.some(offset => !complete.refused.some(refusal => refusal.offset === offset))
}

function canonicalState (state: FoldState | undefined): string {
  return canonicalJson([state?.next, state?.revision, state?.revisions, state?.configuration])
}

/** Oldest offset that no snapshot in the log covers; records expire only once a snapshot covers them. */
function firstUncoveredOffset (world: World): number {
  const covered = world.log.flatMap(body => {
    const parsed = JSON.parse(body) as { type: string, asOf?: number }
    return parsed.type === 'snapshot' && parsed.asOf !== undefined ? [parsed.asOf + 1] : []
  })
  return Math.max(0, ...covered)
}

function pageFrom (world: World, from: number): StreamPage {
  const start = Math.max(from, world.firstOffset)
  const records = world.log.slice(start).map((body, index) => ({ offset: start + index, at: 0, body }))
  return { first: world.firstOffset, next: world.log.length, records }
}

function advanceNode (world: World, index: number, state: FoldState, records: readonly StoredRecord[]): World {
  const node = nodeAt(world, index)
  const window = state.next > node.state.next ? extendWindow(node.window, state, records) : node.window
  return updateNode(world, index, { state, window, highestOffset: Math.max(node.highestOffset, state.next) })
}

function updateNode (world: World, index: number, node: ModelNode): World {
  return { ...world, nodes: world.nodes.map((other, position) => position === index ? node : other) }
}

function updateOperator (world: World, index: number, changed: Partial<Operator>): World {
  return { ...world, operators: world.operators.map((operator, position) => position === index ? { ...operator, ...changed } : operator) }
}

function nodeAt (world: World, index: number): ModelNode {
  return world.nodes[index] ?? newNode
}

function operatorAt (world: World, index: number): Operator {
  const operator = world.operators[index]
  if (operator === undefined) throw new Error('no such operator')
  return operator
}

function idOf (operator: Operator, index: number): string {
  return `${index}/${operator.attempts}`
}
