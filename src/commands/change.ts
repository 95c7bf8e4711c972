/** Commands that append a change: they plan, append, settle, and watch it come into force. */
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

const changeTimeoutMilliseconds = 10_000
const pollIntervalMilliseconds = 300

/** Options that every changing command takes. */
export type ChangeOptions = Readonly<Record<string, unknown>>

/** Reads the state at the log's head, or says that the log cannot be reached. */
export async function readHeadState (client: LogClient, url: string): Promise<FoldState> {
  try {
    return await readState(client)
  } catch (error) {
    throw new UnreachableError(`the log at ${url} cannot be read: ${(error as Error).message}`)
  }
}

/** Appends a change that `choose` makes from the state at the head; returns the exit code. */
export async function runChange (options: ChangeOptions, choose: (state: FoldState) => Change): Promise<number> {
  const { log, instances, author, wait, key } = settingsFrom(['log', 'instances', 'author', 'wait', 'key'], options)
  const json = options['json'] === true
  const client = new HttpLogClient(log)
  const state = await readHeadState(client, log)
  const change = choose(state)
  const { findings } = planChange(state, change, [])
  if (findings.length > 0) throw new FindingsError(findings)
  const result = await appendRebased(client, state, change, author, Date.now() + changeTimeoutMilliseconds, key === undefined ? undefined : readPrivateKey(key))
  if (result.tag !== 'accepted') return printFailure(json, result)
  if (!json) print(false, result, [`accepted at offset ${result.offset}${result.rebased ? ', on top of unrelated changes' : ''} (id ${result.id})`])
  if (instances === undefined) {
    print(json, result, [])
    return exitCodes.ok
  }
  const asked = await waitUntilInForce(instances, result.offset, Date.now() + wait * 1000)
  const sorted = groupNodes(asked, result.offset)
  print(json, { ...result, ...sorted }, inForceLines(asked, result.offset))
  return sorted.inForce.length === asked.length ? exitCodes.ok : exitCodes.notYetInForce
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

/** Asks every live node until all have the offset in force, or until the deadline. */
async function waitUntilInForce (url: string, offset: number, deadline: number): Promise<readonly QueriedNode[]> {
  for (;;) {
    const live = (await readInstancesOrFail(url)).filter(({ state }) => state === 'live')
    const asked = await describeNodes(live)
    const isEverywhere = asked.every(({ description }) => description !== undefined && description.configurationNext > offset)
    if (isEverywhere || Date.now() + pollIntervalMilliseconds >= deadline) return asked
    await waitUntil(Date.now() + pollIntervalMilliseconds)
  }
}

/** The instance list, or a statement that it cannot be reached. */
export async function readInstancesOrFail (url: string): ReturnType<typeof readInstances> {
  try {
    return await readInstances(url)
  } catch (error) {
    throw new UnreachableError(`the instance list at ${url} cannot be read: ${(error as Error).message}`)
  }
}
