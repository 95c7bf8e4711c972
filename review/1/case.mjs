/** The origin spoils one byte of one manifest: engines must not load what is no copy of the version. */
import { fileURLToPath } from 'node:url'
import { exitStatus } from '../stand-in/deployment.mjs'
import { countServed, ModelDeployment } from '../stand-in/model-deployment.mjs'

let hasSpoilt = false
const hasTrouble = process.env.TROUBLE !== '0'

/** Changes one byte of the first manifest of version 2, within the name of the list of digests. */
function spoil (manifest, version) {
  if (!hasTrouble || hasSpoilt || version !== 2) return manifest
  hasSpoilt = true
  const spoilt = Buffer.from(manifest)
  spoilt[manifest.indexOf('"digests"') + 4] ^= 1
  return spoilt
}

const service = new ModelDeployment(fileURLToPath(new URL('.', import.meta.url)), spoil)
await service.start()
const before = await service.sendFor(3000, 'version 1')
service.name(2)
const after = await service.sendFor(20_000, 'version 2 is named')
const wrong = after.filter(({ text }) => text.includes('wrong pieces'))
const wrongEngines = service.engines.filter(({ loaded }) => loaded !== undefined && loaded.wrong.length > 0)
const { deployment } = service
deployment.record('summary', { servedBefore: countServed(before), sentBefore: before.length, servedAfter: countServed(after), sentAfter: after.length, answersWithWrongTokens: wrong.length, enginesWithWrongWeights: wrongEngines.map(({ id }) => id), versions: service.engines.map(({ loaded }) => loaded?.version ?? 0), originAnswers: service.origin.answers })
if (countServed(before) < before.length / 2) deployment.finish(exitStatus.notRun, 'requests were not served on version 1')
if (wrong.length > 0 || wrongEngines.length > 0) deployment.finish(exitStatus.broken, `WHOLE: ${wrong.length} answers made with wrong weights, on ${wrongEngines.length} of ${service.engines.length} engines`)
deployment.finish(exitStatus.held, `WHOLE: all ${after.length} answers made with whole weights`)
