/** What the command line prints: JSON when asked for, else lines for people. */
import type { PlannedDifference, ChangePlan } from '../core/configuration/change-plan.js'
import type { HistoryLine } from '../queries/history.js'
import type { QueriedNode, EntryStatus } from '../queries/nodes.js'
import type { AgentStatus } from '../types/messages.js'

const progressBarWidth = 20

/** Prints a value as one JSON line, or the lines for people. */
export function print (json: boolean, value: unknown, lines: readonly string[]): void {
  const text = json ? JSON.stringify(value) : lines.join('\n')
  if (text !== '') process.stdout.write(`${text}\n`)
}

/** Lines of a plan. */
export function planLines (plan: ChangePlan): readonly string[] {
  if (plan.findings.length > 0) return plan.findings.map(({ place, problem }) => `${place}: ${problem}`)
  const signs: Readonly<Record<PlannedDifference['change'], string>> = { added: '+', removed: '-', changed: '~' }
  const instances = Object.entries(plan.instances).map(([dataCentre, names]) => `${dataCentre}: ${names.length} instances affected: ${names.join(', ')}`)
  return [
    `scope ${plan.scope}, based on revision ${plan.basedOn}; another change of this scope before it wins the race`,
    ...plan.differences.map(({ place, change }) => `${signs[change]} ${place}`),
    ...plan.differences.length === 0 ? ['nothing would change'] : [],
    ...instances,
    ...plan.organisations.length === 0 ? [] : [`organisations affected: ${plan.organisations.join(', ')}`]
  ]
}

/** Lines of the history, the newest last. */
export function historyLines (lines: readonly HistoryLine[]): readonly string[] {
  return lines.map(({ offset, at, author, what, result }) => `${offset}  ${new Date(at).toISOString()}  ${result.padEnd(9)}  ${what || '(corrupt record)'}${author === '' ? '' : `  by ${author}`}`)
}

/** Lines of an entry's status: one for each upstream, with its progress. */
export function statusLines ({ node, upstreams }: EntryStatus): readonly string[] {
  const sorted = [...upstreams].sort((left, right) => left.instance < right.instance ? -1 : 1)
  return [
    `${node.instance} in ${node.dataCentre}: configuration up to offset ${node.configurationNext}, revision ${node.revision}, log ${node.logReachable ? 'reachable' : 'not read by this node'}`,
    ...sorted.map(upstreamLine)
  ]
}

/** Which nodes have an offset in force. */
export function inForceLines (asked: readonly QueriedNode[], offset: number): readonly string[] {
  const { inForce, behind, silent } = groupNodes(asked, offset)
  return [
    `in force on ${inForce.length} of ${asked.length} nodes`,
    ...behind.length === 0 ? [] : [`not yet: ${behind.join(', ')}`],
    ...silent.length === 0 ? [] : [`silent: ${silent.join(', ')}`]
  ]
}

/** Nodes by whether they have an offset in force. */
export function groupNodes (asked: readonly QueriedNode[], offset: number): { readonly inForce: readonly string[], readonly behind: readonly string[], readonly silent: readonly string[] } {
  const names = (wanted: (node: QueriedNode) => boolean): readonly string[] => asked.filter(wanted).map(({ listed }) => listed.instance).sort()
  return {
    inForce: names(({ description }) => description !== undefined && description.configurationNext > offset),
    behind: names(({ description }) => description !== undefined && description.configurationNext <= offset),
    silent: names(({ description }) => description === undefined)
  }
}

function upstreamLine (status: AgentStatus): string {
  const { instance, dataCentre, state, weights, inFlight, limit, cold, wanted, chunksHeld, chunksTotal } = status
  const name = `${instance.padEnd(24)} ${dataCentre.padEnd(14)} ${state.padEnd(8)} ${cold ? 'cold' : 'warm'} ${inFlight}/${limit}`
  const serves = weights === '' ? '' : `  serves ${weights.slice(0, 12)}`
  if (wanted === '' || chunksTotal === 0 || wanted === weights) return `${name}${serves}`
  return `${name}${serves}  ${progressBar(chunksHeld / chunksTotal)} ${chunksHeld}/${chunksTotal} chunks of ${wanted.slice(0, 12)}`
}

function progressBar (share: number): string {
  const filled = Math.round(Math.min(1, share) * progressBarWidth)
  return `[${'#'.repeat(filled)}${'.'.repeat(progressBarWidth - filled)}]`
}
