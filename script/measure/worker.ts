/** Some members of a measured pool in a process of their own; the measuring process steers it by messages. */
import { NaiveFetcher } from '../../src/roles/agent/exchange/naive.js'
import type { ExchangeMember } from '../../src/roles/agent/exchange/options.js'
import type { MakeFetcher } from '../../src/roles/agent/exchange/exchange.js'
import { runInBackground } from '../../src/utils/background.js'
import { logFor, writeLogs } from '../../src/utils/log.js'
import { killMember, startMember, type PoolMember, type Sources } from './pool.js'

/** Orders to the worker. */
export type WorkerOrder =
  | { readonly type: 'start', readonly indexes: readonly number[], readonly dataCentres: number, readonly linkBytes: number, readonly sources: Sources, readonly policy: string }
  | { readonly type: 'want', readonly listed: readonly ExchangeMember[], readonly manifest: string, readonly finishBy: number }
  | { readonly type: 'kill', readonly instance: string }
  | { readonly type: 'report' }

/** What the worker says. */
export type WorkerReport =
  | { readonly type: 'started', readonly members: readonly ExchangeMember[] }
  | { readonly type: 'whole', readonly instance: string, readonly at: number }
  | { readonly type: 'totals', readonly busy: number, readonly polls: number, readonly processorMilliseconds: number }

const checkMilliseconds = 10
const makeNaive: MakeFetcher = (context, wanted) => new NaiveFetcher(context, wanted)
let members: readonly PoolMember[] = []
let listed: readonly ExchangeMember[] = []

writeLogs('error')
process.on('message', (order: WorkerOrder) => { runInBackground(obey(order), logFor('exchange'), 'obey an order') })
process.on('disconnect', () => { process.exit(0) })

async function obey (order: WorkerOrder): Promise<void> {
  if (order.type === 'start') await start(order)
  else if (order.type === 'want') want(order)
  else if (order.type === 'kill') kill(order.instance)
  else report()
}

async function start (order: Extract<WorkerOrder, { type: 'start' }>): Promise<void> {
  const { dataCentres, linkBytes, sources, policy } = order
  const makeFetcher = policy === 'naive' ? makeNaive : undefined
  members = await Promise.all(order.indexes.map(async index => await startMember({ index, dataCentres, linkBytes, sources, listed: () => listed, makeFetcher })))
  say({ type: 'started', members: members.map(({ instance, dataCentre, address }) => ({ instance, dataCentre, address })) })
}

function want (order: Extract<WorkerOrder, { type: 'want' }>): void {
  listed = order.listed
  const waiting = new Set(members)
  for (const member of members) member.exchange.setTarget({ manifest: order.manifest, finishBy: order.finishBy })
  const timer = setInterval(() => {
    for (const member of waiting) {
      if (!member.exchange.isComplete) continue
      waiting.delete(member)
      say({ type: 'whole', instance: member.instance, at: Date.now() })
    }
    if (waiting.size === 0) clearInterval(timer)
  }, checkMilliseconds)
}

function kill (instance: string): void {
  const member = members.find(candidate => candidate.instance === instance)
  if (member !== undefined) killMember(member)
}

function report (): void {
  const { user, system } = process.cpuUsage()
  const answers = members.map(member => member.exchange.usage.answers)
  say({
    type: 'totals',
    busy: answers.reduce((sum, { busy }) => sum + busy, 0),
    polls: answers.reduce((sum, { held }) => sum + held, 0),
    processorMilliseconds: Math.round((user + system) / 1000)
  })
}

function say (message: WorkerReport): void {
  process.send?.(message)
}
