/** Runs a command that changes the configuration: plans and appends the change, then, with an instance list, waits until it is in force on every live node. */
import { print, inForceLines, groupNodes } from '../cli/output.js'
import { exitCodes, readPrivateKey, settingsFrom, UnreachableError } from '../cli/settings.js'
import { planChange } from '../core/configuration/change-plan.js'
import { FindingsError } from '../errors.js'
import { describeNodes, readInstances, type QueriedNode } from '../queries/nodes.js'
import { readState } from '../queries/read-state.js'
import { HttpLogClient, type LogClient } from '../transports/log-client.js'
import type { Change, FoldState } from '../types/configuration.js'
import { waitUntil } from '../utils/clock.js'
import { appendRebased, type ChangeResult } from './append-change.js'

/** Time to append a change and to read its outcome. */
const changeTimeoutMilliseconds = 10_000
/** Time between two queries of all live nodes. */
const pollIntervalMilliseconds = 300

/** Options of a command that changes the configuration, as parsed from its flags. */
export type ChangeOptions = Readonly<Record<string, unknown>>

/** Reads the state at the log's head; throws an `UnreachableError` when the log cannot be read. */
export async function readHeadState (client: LogClient, url: string): Promise<FoldState> {
  try {
    return await readState(client)
  } catch (error) {
    throw new UnreachableError(`the log at ${url} cannot be read: ${(error as Error).message}`)
  }
}

/** Appends the change that `createChange` makes from the state at the log's head; returns the exit code. Throws a `FindingsError` if the change is invalid, an `UnreachableError` if the log or the instance list cannot be read. */
export async function runChange (options: ChangeOptions, createChange: (state: FoldState) => Change): Promise<number> {
  const { log, instances, author, wait, key } = settingsFrom(['log', 'instances', 'author', 'wait', 'key'], options)
  const json = options['json'] === true
  const client = new HttpLogClient(log)
  const state = await readHeadState(client, log)
  const change = createChange(state)
  const { findings } = planChange(state, change, [])
  if (findings.length > 0) throw new FindingsError(findings)
  const result = await appendRebased(client, state, change, author, Date.now() + changeTimeoutMilliseconds, key === undefined ? undefined : readPrivateKey(key))
  if (result.tag !== 'accepted') return printFailure(json, result)
  if (!json) print(false, result, [`accepted at offset ${result.offset}${result.rebased ? ', on top of unrelated changes' : ''} (id ${result.id})`])
  if (instances === undefined) {
    print(json, result, [])
    return exitCodes.ok
  }
  const queried = await waitUntilInForce(instances, result.offset, Date.now() + wait * 1000)
  const groups = groupNodes(queried, result.offset)
  print(json, { ...result, ...groups }, inForceLines(queried, result.offset))
  return groups.inForce.length === queried.length ? exitCodes.ok : exitCodes.notYetInForce
}

function printFailure (json: boolean, result: Exclude<ChangeResult, { tag: 'accepted' }>): number {
  if (result.tag === 'unknown') {
    print(json, result, [`unknown: the log could not say before the deadline whether the change took effect; look for id ${result.id} in "pollendyke history" before trying again`])
    return exitCodes.unknown
  }
  if (result.reason === 'unsigned') {
    print(json, result, [`refused at offset ${result.offset}: the configuration in force asks for a signature by one of its operatorKeys; see --key`])
    return exitCodes.refused
  }
  const reason = result.reason === 'stale' ? 'another operator changed the same scope first; look at "pollendyke history" and plan anew' : `the record is ${result.reason}`
  print(json, result, [`refused at offset ${result.offset}: ${reason}`])
  return exitCodes.refused
}

/** Queries every live node until the record at `offset` is in force on all of them, or until the deadline. */
async function waitUntilInForce (url: string, offset: number, deadline: number): Promise<readonly QueriedNode[]> {
  for (;;) {
    const live = (await readInstancesOrFail(url)).filter(({ state }) => state === 'live')
    const queried = await describeNodes(live)
    const isInForceEverywhere = queried.every(({ description }) => description !== undefined && description.configurationNext > offset)
    if (isInForceEverywhere || Date.now() + pollIntervalMilliseconds >= deadline) return queried
    await waitUntil(Date.now() + pollIntervalMilliseconds)
  }
}

/** Reads the platform's instance list; throws an `UnreachableError` when it cannot be read. */
export async function readInstancesOrFail (url: string): ReturnType<typeof readInstances> {
  try {
    return await readInstances(url)
  } catch (error) {
    throw new UnreachableError(`the instance list at ${url} cannot be read: ${(error as Error).message}`)
  }
}
