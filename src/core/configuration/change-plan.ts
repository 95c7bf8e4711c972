/** Plan of a change: its effect, computed without applying it. */
import type { Finding } from '../../errors.js'
import type { Change, Configuration, FoldState } from '../../types/configuration.js'
import type { ListedInstance } from '../../types/platform.js'
import { canonicalJson } from '../../utils/digest.js'
import { applyChange, isFindings, scopeOf } from './change.js'
import { revisionOfScope } from './fold.js'
import { wantedWeights } from './resolve.js'

/** Part of the configuration that a change would add, remove or change. */
export interface PlannedDifference {
  /** Place such as `dataCentres.rajkot`. */
  readonly place: string
  readonly change: 'added' | 'removed' | 'changed'
}

/** Effect of a change, as the command line prints it. */
export interface ChangePlan {
  readonly scope: string
  /** Revision of the scope that the change would be based on; it is refused when another change of the scope is accepted first. */
  readonly basedOn: number
  readonly findings: readonly Finding[]
  readonly differences: readonly PlannedDifference[]
  /** Listed upstreams by data centre that would load other weights, start or stop taking work, or get other bounds of their service. */
  readonly instances: Readonly<Record<string, readonly string[]>>
  /** Organisations whose weights or share would change. */
  readonly organisations: readonly string[]
}

const sections = ['dataCentres', 'organisations', 'services', 'intents'] as const

/** Plans a change of a state for the listed instances. */
export function planChange (state: FoldState, change: Change, instances: readonly ListedInstance[]): ChangePlan {
  const scope = scopeOf(change)
  const basedOn = revisionOfScope(state, scope)
  const after = applyChange(state.configuration, change)
  if (isFindings(after)) return { scope, basedOn, findings: after, differences: [], instances: {}, organisations: [] }
  const differences = compareConfigurations(state.configuration, after)
  const revisions = { ...state.revisions, [scope]: state.next }
  const affected = instances.filter(listed => listed.role === 'upstream' && isAffected(state, after, revisions, listed, instances))
  const dataCentres = [...new Set(affected.map(({ dataCentre }) => dataCentre))].sort()
  const namesIn = (dataCentre: string): readonly string[] => affected.filter(listed => listed.dataCentre === dataCentre).map(({ instance }) => instance)
  return {
    scope,
    basedOn,
    findings: [],
    differences,
    instances: Object.fromEntries(dataCentres.map(name => [name, namesIn(name)])),
    organisations: organisationsOf(state.configuration, after, differences)
  }
}

function compareConfigurations (before: Configuration | undefined, after: Configuration): readonly PlannedDifference[] {
  const deployment = isSame(before?.deployment, after.deployment) ? [] : [{ place: 'deployment', change: before === undefined ? 'added' as const : 'changed' as const }]
  return [...deployment, ...sections.flatMap(section => compareSection(section, before?.[section] ?? {}, after[section]))]
}

function compareSection (section: string, before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>): readonly PlannedDifference[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return names.flatMap((name): readonly PlannedDifference[] => {
    const place = `${section}.${name}`
    if (!Object.hasOwn(before, name)) return [{ place, change: 'added' }]
    if (!Object.hasOwn(after, name)) return [{ place, change: 'removed' }]
    return isSame(before[name], after[name]) ? [] : [{ place, change: 'changed' }]
  })
}

function isAffected (state: FoldState, after: Configuration, revisions: Readonly<Record<string, number>>, listed: ListedInstance, instances: readonly ListedInstance[]): boolean {
  const { service, dataCentre, instance } = listed
  const before = state.configuration
  if (before === undefined) return true
  if (before.dataCentres[dataCentre]?.state !== after.dataCentres[dataCentre]?.state) return true
  if (!isSame(before.services[service], after.services[service])) return true
  const members = instances.filter(other => other.service === service && other.dataCentre === dataCentre && other.state === 'live').map(other => other.instance)
  const wanted = wantedWeights(before, state.revisions, service, dataCentre, instance, members)
  return wanted?.manifest !== wantedWeights(after, revisions, service, dataCentre, instance, members)?.manifest
}

function organisationsOf (before: Configuration | undefined, after: Configuration, differences: readonly PlannedDifference[]): readonly string[] {
  const named = differences.flatMap(({ place }) => {
    const [section = '', name = ''] = place.split('.')
    if (section === 'organisations') return [name]
    if (section !== 'intents') return []
    return [...before?.intents[name]?.organisations ?? [], ...after.intents[name]?.organisations ?? []]
  })
  return [...new Set(named)].sort()
}

function isSame (left: unknown, right: unknown): boolean {
  return canonicalJson(left ?? null) === canonicalJson(right ?? null)
}
