#!/usr/bin/env python3
# outer-names.py LIST REPO: searches the Go files for each name that leaves a process
# (outer-names.txt: folder and quoted name) and prints those that are missing.
import sys,subprocess,json,os,re
lst,repo=sys.argv[1:3]
n=missing=0; sec=''
cache={}
def text(d):
    if d not in cache:
        p=os.path.join(repo,d if d!='.' else '')
        cache[d]='\n'.join(open(os.path.join(p,f)).read() for f in sorted(os.listdir(p)) if f.endswith('.go') and not f.endswith('_test.go'))
    return cache[d]
alltext=None
for l in open(lst):
    l=l.rstrip('\n')
    if l.startswith('## '): sec=l[3:]; per={}; print('##',sec); continue
    if '\t' in l:
        d,q=l.split('\t',1); v=json.loads(q) if not '\\x' in q and not "\\a" in q else q[1:-1]
        n+=1
        t=text(d)
        probe=v
        if sec.startswith('Keys of struct'):
            k,w=v.split(' ',1); probe=w
        if sec.startswith('Exported fields'):
            probe=v.split('.',1)[1].split(' ')[0]
        ok= probe in t or json.dumps(probe)[1:-1] in t or probe.replace('"','\\"') in t or json.dumps(probe,ensure_ascii=False)[1:-1] in t
        if not ok: missing+=1; print('missing',d,q)
    elif l and not l.startswith('#'):
        n+=1
        if sec.startswith('Flags'):
            pass
        if sec.startswith('Tests'):
            r=subprocess.run(['git','-C',repo,'grep','-qE',r'func '+l+r'\(','--','*_test.go'])
            if r.returncode: missing+=1; print('missing',l)
print(n,'names,',missing,'missing')
