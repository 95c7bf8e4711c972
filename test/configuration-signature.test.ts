/** Tests of signed changes: the check in the fold, and signing by the command line. */
import { generateKeyPairSync, type KeyObject } from 'node:crypto'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'tap'
import { runProgram } from '../script/launch.js'
import { emptyFold, foldPage } from '../src/core/configuration/fold.js'
import { createChangeRecord } from '../src/core/configuration/change-outcome.js'
import type { Change, ChangeRecord } from '../src/types/configuration.js'
import { LogStandIn } from '../stand-in/log.js'
import { configuration } from './fakes/followers.js'

const [trusted, untrusted] = [generateKeyPairSync('ed25519'), generateKeyPairSync('ed25519')]
const publicText = (key: KeyObject): string => key.export({ format: 'der', type: 'spki' }).toString('base64')
const signedOnly: Change = { kind: 'replace', configuration: { ...configuration, deployment: { ...configuration.deployment, operatorKeys: [publicText(trusted.publicKey)] } } }
const takeOut: Change = { kind: 'data-centre', dataCentre: 'rajkot', state: 'out' }

const fold = (...records: readonly ChangeRecord[]): ReturnType<typeof foldPage> => foldPage(emptyFold, { first: 0, next: records.length, records: records.map((record, offset) => ({ offset, at: 0, body: JSON.stringify(record) })) })
const first = createChangeRecord(emptyFold, signedOnly, 'first', 'test', 0)
const signed = createChangeRecord(fold(first), takeOut, 'out', 'test', 0, trusted.privateKey)
const { signature: _signature, ...unsigned } = signed

const cases = [
  { name: 'signed by a trusted key', record: signed, refused: [] },
  { name: 'without a signature', record: unsigned, refused: ['unsigned'] },
  { name: 'signed by an untrusted key', record: createChangeRecord(fold(first), takeOut, 'out', 'test', 0, untrusted.privateKey), refused: ['unsigned'] },
  { name: 'altered after signing', record: { ...signed, author: 'somebody' }, refused: ['unsigned'] },
  { name: 'with the signature of another record', record: { ...createChangeRecord(fold(first), takeOut, 'other', 'test', 0), signature: signed.signature ?? '' }, refused: ['unsigned'] },
  { name: 'with a malformed signature', record: { ...signed, signature: '%' }, refused: ['unsigned'] }
] as const

for (const { name, record, refused } of cases) {
  test(`with operator keys configured, a change ${name} is ${refused.length === 0 ? 'accepted' : 'refused'}`, async t => {
    const state = fold(first, record)
    t.same(state.refused.map(({ reason }) => reason), refused)
    t.equal(state.revision, refused.length === 0 ? 1 : 0)
  })
}

test('the command line signs with the given key, and questionnaire answers contain the public keys', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'pollendyke-test-'))
  const log = new LogStandIn()
  const { server, port } = await log.listen('127.0.0.1:0')
  t.teardown(() => {
    rmSync(folder, { recursive: true, force: true })
    server.closeAllConnections()
    server.close()
  })
  const run = async (...words: readonly string[]): ReturnType<typeof runProgram> => await runProgram('pollendyke', words, { POLLENDYKE_LOG: `http://127.0.0.1:${port}` })
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text)
    return join(folder, name)
  }
  const answers = { ...JSON.parse(readFileSync('answers/khakhi-patrak.json', 'utf8')) as object, operatorKeys: [publicText(trusted.publicKey)] }
  const generated = await run('generate', write('answers.json', JSON.stringify(answers)))
  t.equal((await run('apply', write('configuration.json', generated.output))).code, 0)
  t.match(await run('zone', 'out', 'rajkot'), { code: 1, output: /asks for a signature/ })
  t.match(await run('zone', 'out', 'rajkot', '--key', write('bad.pem', 'no key')), { code: 2, errors: /is no private Ed25519 key/ })
  const key = write('key.pem', String(trusted.privateKey.export({ format: 'pem', type: 'pkcs8' })))
  t.match(await run('zone', 'out', 'rajkot', '--key', key), { code: 0, output: /accepted at offset 2/ })
})
