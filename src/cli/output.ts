/** Output of the command line: one JSON line with `--json`, readable lines otherwise. */
import type { PlannedDifference, ChangePlan } from '../core/configuration/change-plan.js'
import type { CheckedConfiguration } from '../commands/check-configuration.js'
import type { HistoryLine } from '../queries/history.js'
import type { QueriedNode, EntryStatus } from '../queries/nodes.js'
import type { AgentStatus } from '../types/messages.js'

/** Width of a progress bar in characters, without its brackets. */
const progressBarWidth = 20

/** Prints `value` as one JSON line, or `lines` if `json` is false; prints nothing if the lines are empty. */
export function print (json: boolean, value: unknown, lines: readonly string[]): void {
  const text = json ? JSON.stringify(value) : lines.join('\n')
  if (text !== '') process.stdout.write(`${text}\n`)
}

const signs: Readonly<Record<PlannedDifference['change'], string>> = { added: '+', removed: '-', changed: '~' }

/** Lines of a checked fleet configuration: its findings, then what differs from the one in force. */
export function checkLines ({ version, versionInForce, findings, differences }: CheckedConfiguration): readonly string[] {
  const compared = versionInForce === 0 ? [] : [`version ${version} against version ${versionInForce}, which is in force`]
  return [
    ...findings.length === 0 ? ['no findings'] : findings.map(({ place, problem }) => `${place}: ${problem}`),
    ...compared,
    ...differences.map(({ place, change, fields }) => `${signs[change]} ${place}${fields.length === 0 ? '' : ` (${fields.join(', ')})`}`),
    ...versionInForce > 0 && differences.length === 0 ? ['nothing would change'] : []
  ]
}

/** Lines of a plan: its findings if it has any, else the differences and what they affect. */
export function planLines (plan: ChangePlan): readonly string[] {
  if (plan.findings.length > 0) return plan.findings.map(({ place, problem }) => `${place}: ${problem}`)
  const instances = Object.entries(plan.instances).map(([dataCentre, names]) => `${dataCentre}: ${names.length} instances affected: ${names.join(', ')}`)
  return [
    `scope ${plan.scope}, based on revision ${plan.basedOn}; another change of this scope before it wins the race`,
    ...plan.differences.map(({ place, change }) => `${signs[change]} ${place}`),
    ...plan.differences.length === 0 ? ['nothing would change'] : [],
    ...instances,
    ...plan.organisations.length === 0 ? [] : [`organisations affected: ${plan.organisations.join(', ')}`]
  ]
}

/** One line for each record of the history, the newest last; times in ISO format. */
export function historyLines (lines: readonly HistoryLine[]): readonly string[] {
  return lines.map(({ offset, at, author, what, result }) => `${offset}  ${new Date(at).toISOString()}  ${result.padEnd(9)}  ${what || '(corrupt record)'}${author === '' ? '' : `  by ${author}`}`)
}

/** Lines of an entry's status: the entry, then each upstream by name with its load and fetch progress. */
export function statusLines ({ node, upstreams }: EntryStatus): readonly string[] {
  const sorted = [...upstreams].sort((left, right) => left.instance < right.instance ? -1 : 1)
  return [
    `${node.instance} in ${node.dataCentre}: configuration up to offset ${node.configurationNext}, revision ${node.revision}, log ${node.logReachable ? 'reachable' : 'not read by this node'}`,
    ...sorted.map(upstreamLine)
  ]
}

/** Lines that say on how many nodes the record at `offset` is in force, and which nodes lack it. */
export function inForceLines (queried: readonly QueriedNode[], offset: number): readonly string[] {
  const { inForce, behind, silent } = groupNodes(queried, offset)
  return [
    `in force on ${inForce.length} of ${queried.length} nodes`,
    ...behind.length === 0 ? [] : [`not yet: ${behind.join(', ')}`],
    ...silent.length === 0 ? [] : [`silent: ${silent.join(', ')}`]
  ]
}

/** Sorted names of the nodes where the record at `offset` is in force, where it is not yet, and of those that did not answer. */
export function groupNodes (queried: readonly QueriedNode[], offset: number): { readonly inForce: readonly string[], readonly behind: readonly string[], readonly silent: readonly string[] } {
  const names = (matches: (node: QueriedNode) => boolean): readonly string[] => queried.filter(matches).map(({ listed }) => listed.instance).sort()
  return {
    inForce: names(({ description }) => description !== undefined && description.configurationNext > offset),
    behind: names(({ description }) => description !== undefined && description.configurationNext <= offset),
    silent: names(({ description }) => description === undefined)
  }
}

/** One upstream: load as requests in flight/limit, and the progress of the weights that it fetches. */
function upstreamLine (status: AgentStatus): string {
  const { instance, dataCentre, state, weights, inFlight, limit, cold, wanted, chunksHeld, chunksTotal } = status
  const name = `${instance.padEnd(24)} ${dataCentre.padEnd(14)} ${state.padEnd(8)} ${cold ? 'cold' : 'warm'} ${inFlight}/${limit}`
  const serves = weights === '' ? '' : `  serves ${weights.slice(0, 12)}`
  if (wanted === '' || chunksTotal === 0 || wanted === weights) return `${name}${serves}`
  return `${name}${serves}  ${progressBar(chunksHeld / chunksTotal)} ${chunksHeld}/${chunksTotal} chunks of ${wanted.slice(0, 12)}`
}

/** Bar of a fraction; fractions above 1 count as 1. */
function progressBar (fraction: number): string {
  const filled = Math.round(Math.min(1, fraction) * progressBarWidth)
  return `[${'#'.repeat(filled)}${'.'.repeat(progressBarWidth - filled)}]`
}
