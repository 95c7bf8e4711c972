/** Specification: no node's configuration reverts or forks, and operators are told the truth. Drives src/core/configuration. */
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
/** What the second operator wants while the first takes the data centre out. */
const competingChanges = {
  'same part': { kind: 'data-centre', dataCentre: 'east', state: 'in' },
  whole: { kind: 'replace', configuration }
} as const satisfies Readonly<Record<string, Change>>

interface ModelNode {
  readonly state: FoldState
  readonly window: RecordWindow
  /** Highest offset of this incarnation. */
  readonly highestOffset: number
}

interface Operator {
  readonly wish: Change
  readonly told: 'nothing' | 'accepted' | 'refused' | 'unknown'
  /** Appends made. */
  readonly tries: number
  /** State that the last append was based on. */
  readonly seen: FoldState | undefined
}

interface World {
  /** Every body that the log ever took. */
  readonly log: readonly string[]
  /** Oldest offset that the log still keeps. */
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

/** Bounds of the walk. */
export interface ConfigurationBounds { readonly nodes: number, readonly restarts: number, readonly snapshots: number, readonly outages: number, readonly rival: keyof typeof competingChanges }

/** What an operator's command does once its append's answer is lost and the log does not show the record. */
export type AfterLostAnswer = 'say unknown' | 'append again'

const maximumAttempts = 2
const newNode: ModelNode = { state: emptyFold, window: emptyWindow, highestOffset: 0 }

/** The protocol; `append again` is the naive variant. */
export function configurationSpecification (bounds: ConfigurationBounds, afterLostAnswer: AfterLostAnswer): Specification<World> {
  const first = JSON.stringify(createChangeRecord(emptyFold, { kind: 'replace', configuration }, 'first', 'model', 0))
  return {
    initial: {
      log: [first],
      firstOffset: 0,
      isLogDown: false,
      pendingAppends: [],
      nodes: Array.from({ length: bounds.nodes }, () => newNode),
      operators: [takeOutEast, competingChanges[bounds.rival]].map(wish => ({ wish, told: 'nothing', tries: 0, seen: undefined })),
      restartsLeft: bounds.restarts,
      snapshotsLeft: bounds.snapshots,
      outagesLeft: bounds.outages
    },
    actionsOf: world => actionsOf(world, afterLostAnswer),
    next: (world, action) => {
      const [verb = '', subject = '0', object = '0'] = action.type.split(' ')
      return steps[verb as ActionName](world, Number(subject), Number(object))
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
    world.pendingAppends.forEach((_body, index) => names.push(`land ${index}`, `drop ${index}`))
    if (firstUncoveredOffset(world) > world.firstOffset) names.push('expire')
    if (world.outagesLeft > 0) names.push('down')
    world.operators.forEach((operator, index) => { names.push(...operatorActions(world, operator, index, afterLostAnswer)) })
  } else names.push('up')
  return names.map(type => ({ type }))
}

function operatorActions (world: World, operator: Operator, index: number, afterLostAnswer: AfterLostAnswer): readonly string[] {
  if (operator.tries === 0) return [`append ${index}`]
  if (operator.told !== 'nothing' || operator.seen === undefined) return []
  const settled = resolveChange(operator.seen, pageFrom(world, operator.seen.next), idOf(operator, index))
  if (settled.tag !== 'absent') return [`settle ${index}`]
  if (afterLostAnswer === 'say unknown') return [`giveUp ${index}`]
  return operator.tries < maximumAttempts ? [`append ${index}`] : []
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
  land: (world: World, index: number): World => ({ ...world, pendingAppends: world.pendingAppends.toSpliced(index, 1), log: [...world.log, ...world.pendingAppends.slice(index, index + 1)] }),
  drop: (world: World, index: number): World => ({ ...world, pendingAppends: world.pendingAppends.toSpliced(index, 1) }),
  expire: (world: World): World => ({ ...world, firstOffset: firstUncoveredOffset(world) }),
  down: (world: World): World => ({ ...world, isLogDown: true, outagesLeft: world.outagesLeft - 1 }),
  up: (world: World): World => ({ ...world, isLogDown: false }),
  append: (world: World, index: number): World => append(world, index, foldPage(emptyFold, pageFrom(world, 0))),
  settle: resolveOperator,
  giveUp: (world: World, index: number): World => updateOperator(world, index, { told: 'unknown' })
} as const

function append (world: World, index: number, seen: FoldState): World {
  const operator = operatorAt(world, index)
  const tried: Operator = { ...operator, tries: operator.tries + 1, seen }
  const body = JSON.stringify(createChangeRecord(seen, operator.wish, idOf(tried, index), 'model', 0))
  return { ...updateOperator(world, index, tried), pendingAppends: [...world.pendingAppends, body] }
}

function resolveOperator (world: World, index: number): World {
  const operator = operatorAt(world, index)
  const seen = operator.seen ?? emptyFold
  const settled = resolveChange(seen, pageFrom(world, seen.next), idOf(operator, index))
  if (settled.tag === 'absent') return world
  const current = foldPage(seen, pageFrom(world, seen.next))
  const rebases = settled.tag === 'refused' && operator.tries < maximumAttempts && mayRebase(operator.wish, seen, current)
  return rebases ? append(world, index, current) : updateOperator(world, index, { told: settled.tag })
}

/** Compares every node and every answer with a plain fold of all that the log ever took. */
function findViolation (world: World): string | undefined {
  const prefixes = world.log.reduce<FoldState[]>((states, body, offset) => {
    const before = states.at(-1) ?? emptyFold
    return [...states, foldPage(before, { first: 0, next: offset + 1, records: [{ offset, at: 0, body }] })]
  }, [emptyFold])
  for (const { state, highestOffset: reached } of world.nodes) {
    if (state.next < reached) return 'a node stepped back'
    if (state.next > 0 && canonicalState(state) !== canonicalState(prefixes[state.next])) return 'a node forked'
  }
  const whole = prefixes.at(-1) ?? emptyFold
  for (const [index, { told, tries }] of world.operators.entries()) {
    const accepted = Array.from({ length: tries }, (_, turn) => `${index}/${turn + 1}`).filter(id => isAccepted(world, whole, id))
    if (accepted.length > 1) return 'a change took effect twice'
    if (told === 'accepted' && accepted.length === 0) return 'an operator was told accepted falsely'
    if (told === 'refused' && accepted.length > 0) return 'an operator was told refused falsely'
  }
  return undefined
}

function isAccepted (world: World, whole: FoldState, id: string): boolean {
  const offsets = world.log.flatMap((body, offset) => body.includes(`"id":"${id}"`) ? [offset] : [])
  return offsets.some(offset => !whole.refused.some(refusal => refusal.offset === offset))
}

function canonicalState (state: FoldState | undefined): string {
  return canonicalJson([state?.next, state?.revision, state?.revisions, state?.configuration])
}

/** Records expire only once a snapshot that covers them is in the log. */
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
  return `${index}/${operator.tries}`
}
